#ifndef MASTICPASS_JSON_RPC_CLIENT_CALL_H
#define MASTICPASS_JSON_RPC_CLIENT_CALL_H

#include <functional>
#include <string>

#include <json/json.h>

namespace masticpass {

// Why a JSON-RPC call has no result.
struct json_rpc_error {
    // True if the peer returned an error object; false if no valid response arrived.
    bool is_peer_error = false;
    // If `is_peer_error`, the error code of the JSON-RPC 2.0 specification or of the schema; otherwise a code
    // of the JSON-RPC library.
    int code = 0;
    std::string message;
    Json::Value data;
};

// Sends a request body. Returns true and sets `response` to the response body, or returns false and sets
// `response` to the reason why there is no response.
using json_rpc_transport = std::function<bool(const std::string& request, std::string& response)>;

// Calls `method` with named `parameters` (JSON-RPC 2.0). Returns true and sets `result`, or returns false and
// sets `error`. The client headers of libjsonrpccpp require C++14, so this header must not include headers
// that need a newer standard. Thread safety: may be called from any thread if the transport may.
bool call_json_rpc(const json_rpc_transport& transport, const std::string& method,
                   const Json::Value& parameters, Json::Value& result, json_rpc_error& error);

}  // namespace masticpass

#endif
