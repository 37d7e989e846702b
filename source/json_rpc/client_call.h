#ifndef MASTICPASS_JSON_RPC_CLIENT_CALL_H
#define MASTICPASS_JSON_RPC_CLIENT_CALL_H

#include <functional>
#include <string>

#include <json/json.h>

namespace masticpass {

// Why a JSON-RPC call gave no result.
struct json_rpc_error {
    // True when the peer answered with an error object; false when no valid answer came back.
    bool is_peer_error = false;
    // The error code of the JSON-RPC 2.0 specification, or of the schema; 0 if not answered.
    int code = 0;
    std::string message;
    Json::Value data;
};

// Sends one request body and returns true with the answer body in `answer`; false, with the reason in
// `answer`, when no answer came back.
using json_rpc_transport = std::function<bool(const std::string& request, std::string& response)>;

// Calls `method` with `parameters` by name (JSON-RPC 2.0). Returns true with `result` set, else false with
// `error` set. The libjsonrpccpp client headers need C++14, so this header must not include anything newer.
// Thread safety: may be called from any thread if the transport may.
bool call_json_rpc(const json_rpc_transport& transport, const std::string& method,
                   const Json::Value& parameters, Json::Value& result, json_rpc_error& error);

}  // namespace masticpass

#endif
