#include "json_rpc/client_call.h"

#include <jsonrpccpp/client.h>

namespace masticpass {

namespace {

class transport_connector : public jsonrpc::IClientConnector {
public:
    explicit transport_connector(const json_rpc_transport& transport) : transport_(transport) {}

    void SendRPCMessage(const std::string& message,
                        std::string& result) throw(jsonrpc::JsonRpcException) override {
        if (!transport_(message, result)) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, result);
        }
    }

private:
    const json_rpc_transport& transport_;
};

// Returns whether the peer sent the error. The library uses the other codes if no valid response arrived.
bool is_peer_error_code(int code) {
    return code != jsonrpc::Errors::ERROR_CLIENT_CONNECTOR &&
           code != jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE &&
           code != jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
}

}  // namespace

bool call_json_rpc(const json_rpc_transport& transport, const std::string& method,
                   const Json::Value& parameters, Json::Value& result, json_rpc_error& error) {
    transport_connector connector(transport);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        result = client.CallMethod(method, parameters);
        return true;
    } catch (const jsonrpc::JsonRpcException& exception) {
        error.code = exception.GetCode();
        error.is_peer_error = is_peer_error_code(error.code);
        error.message = exception.GetMessage();
        error.data = exception.GetData();
        return false;
    }
}

}  // namespace masticpass
