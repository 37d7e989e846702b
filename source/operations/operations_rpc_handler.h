#ifndef MASTICPASS_OPERATIONS_OPERATIONS_RPC_HANDLER_H
#define MASTICPASS_OPERATIONS_OPERATIONS_RPC_HANDLER_H

#include <string>

#include <operations_server_stub.h>

#include "operations/fleet_service.h"

namespace masticpass {

// Handles the JSON-RPC calls of schema/operations.json with a fleet_service and translates its errors to
// JSON-RPC errors. The library checks that each parameter is present and has the type of the schema.
// Ownership: borrows the service and the connector, which must outlive it. Thread safety: calls may run on
// several threads at once.
class operations_rpc_handler final : public operations_server_stub {
public:
    operations_rpc_handler(jsonrpc::AbstractServerConnector& connector, fleet_service& service)
        : operations_server_stub(connector), service_(service) {}

    // Converts an exception of the service to an internal error. The text of the exception is logged but not
    // returned.
    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override;

    Json::Value status() override;
    Json::Value show_configuration() override;
    Json::Value propose_change(const Json::Value& change) override;
    Json::Value show_pool(const std::string& pool) override;
    Json::Value list_entries() override;
    Json::Value show_wave(const std::string& wave) override;
    Json::Value set_wave_state(const std::string& author, const std::string& change, const std::string& state,
                               const std::string& wave) override;
    Json::Value drain_vm(const std::string& author, const std::string& operation,
                         const std::string& vm) override;

private:
    fleet_service& service_;
};

}  // namespace masticpass

#endif
