#ifndef MASTICPASS_OPERATIONS_VIEW_JSON_H
#define MASTICPASS_OPERATIONS_VIEW_JSON_H

#include <json/json.h>

#include "operations/fleet_service.h"

namespace masticpass {

// Return the results of the operations interface as JSON. Times are in RFC 3339 format and UTC, durations in
// whole milliseconds.
Json::Value to_json(const entry_status& status);
Json::Value to_json(const configuration_view& view);
Json::Value to_json(const change_result& result);
Json::Value to_json(const pool_view& view);
Json::Value to_json(const entry_view& view);
Json::Value to_json(const wave_view& view);
Json::Value to_json(const drain_result& result);

// Returns the `data` member of a JSON-RPC error, an object with the members `problems` and `conflicts`.
Json::Value error_data_to_json(const operations_error& error);

// Reads the format of error_data_to_json() and adds the problems and conflicts to `error`. Members of an
// unexpected type are ignored.
void read_error_data(const Json::Value& data, operations_error& error);

}  // namespace masticpass

#endif
