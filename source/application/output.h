#ifndef MASTICPASS_APPLICATION_OUTPUT_H
#define MASTICPASS_APPLICATION_OUTPUT_H

#include <ostream>

#include <json/json.h>

#include "operations/operations_error.h"

namespace masticpass {

// Writes a result as indented JSON, or as a text with one line per member and a table per list.
void print_result(std::ostream& out, const Json::Value& result, bool as_json);

// Writes an error with its reasons and conflicts, as JSON or as sentences.
void print_error(std::ostream& err, const operations_error& error, bool as_json);

int to_exit_code(operations_error_code code);

}  // namespace masticpass

#endif
