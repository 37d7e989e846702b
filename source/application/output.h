#ifndef MASTICPASS_APPLICATION_OUTPUT_H
#define MASTICPASS_APPLICATION_OUTPUT_H

#include <ostream>

#include <json/json.h>

#include "operations/operations_error.h"

namespace masticpass {

// Prints a result as indented JSON, or as text with one line per member and one table per list of objects.
void print_result(std::ostream& out, const Json::Value& result, bool as_json);

// Prints an error with its problems and conflicts, as JSON or as text.
void print_error(std::ostream& err, const operations_error& error, bool as_json);

int to_exit_code(operations_error_code code);

}  // namespace masticpass

#endif
