#ifndef MASTICPASS_OPERATIONS_VIEW_JSON_H
#define MASTICPASS_OPERATIONS_VIEW_JSON_H

#include <json/json.h>

#include "operations/fleet_service.h"

namespace masticpass {

// The results of the operators' interface as JSON. Times are RFC 3339 in UTC, durations whole milliseconds.
Json::Value to_json(const entry_status& status);
Json::Value to_json(const configuration_view& view);
Json::Value to_json(const change_result& result);
Json::Value to_json(const pool_view& view);
Json::Value to_json(const entry_view& view);
Json::Value to_json(const wave_view& view);
Json::Value to_json(const drain_result& result);

// The `data` member of a JSON-RPC error: `problems` and `conflicts`.
Json::Value error_data_to_json(const operations_error& error);

// Adds what error_data_to_json wrote to `error`. Members of an unexpected type are ignored.
void read_error_data(const Json::Value& data, operations_error& error);

}  // namespace masticpass

#endif
