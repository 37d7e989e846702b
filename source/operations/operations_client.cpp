#include "operations/operations_client.h"

#include <utility>

#include "http/client.h"
#include "json_rpc/client_call.h"
#include "operations/view_json.h"

namespace masticpass {

namespace {

// Returns whether the connection could not be opened, so that nothing was sent.
bool is_connect_error(httplib::Error error) {
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

operations_error_code to_error_code(int code) {
    const bool is_operations_code = code >= static_cast<int>(operations_error_code::invalid) &&
                                    code <= static_cast<int>(operations_error_code::internal);
    // The other codes are those of JSON-RPC itself, for example for an unknown method or invalid parameters.
    return is_operations_code ? static_cast<operations_error_code>(code) : operations_error_code::invalid;
}

operations_error to_operations_error(const json_rpc_error& error) {
    operations_error result{.code = to_error_code(error.code), .message = error.message};
    read_error_data(error.data, result);
    return result;
}

}  // namespace

operations_client::operations_client(socket_address server, absl::Duration timeout)
    : server_(std::move(server)), timeout_(timeout) {}

operations_result<Json::Value> operations_client::call(call_kind kind, const std::string& method,
                                                       const Json::Value& parameters) const {
    const http_client_options options = {.connect_timeout = timeout_,
                                         .read_timeout = timeout_,
                                         .write_timeout = timeout_,
                                         .keep_alive = false};
    const auto client = create_http_client(server_.ip, server_.port, options);
    bool was_sent = true;
    const json_rpc_transport transport = [&](const std::string& request, std::string& response_body) {
        const httplib::Result response = client->Post("/rpc", request, "application/json");
        if (!response) {
            was_sent = !is_connect_error(response.error());
            response_body = httplib::to_string(response.error());
            return false;
        }
        response_body =
            response->status == 200 ? response->body : "HTTP status " + std::to_string(response->status);
        return response->status == 200;
    };
    Json::Value result;
    json_rpc_error error;
    if (call_json_rpc(transport, method, parameters, result, error)) {
        return result;
    }
    if (error.is_peer_error) {
        return tl::unexpected(to_operations_error(error));
    }
    operations_error failure{.code = operations_error_code::unreachable,
                             .message = "cannot connect to " + to_string(server_) + ": " + error.message};
    if (was_sent) {
        failure.code = kind == call_kind::read ? operations_error_code::unavailable
                                               : operations_error_code::unknown_outcome;
        failure.message = "no valid response from " + to_string(server_) + ": " + error.message;
    }
    return tl::unexpected(std::move(failure));
}

operations_result<Json::Value> operations_client::status() const {
    return call(call_kind::read, "status", Json::objectValue);
}

operations_result<Json::Value> operations_client::show_configuration() const {
    return call(call_kind::read, "show_configuration", Json::objectValue);
}

operations_result<Json::Value> operations_client::propose_change(const configuration_change& change) const {
    Json::Value parameters(Json::objectValue);
    parameters["change"] = to_json(change);
    return call(call_kind::write, "propose_change", parameters);
}

operations_result<Json::Value> operations_client::show_pool(const pool_name& pool) const {
    Json::Value parameters(Json::objectValue);
    parameters["pool"] = pool.value();
    return call(call_kind::read, "show_pool", parameters);
}

operations_result<Json::Value> operations_client::list_entries() const {
    return call(call_kind::read, "list_entries", Json::objectValue);
}

operations_result<Json::Value> operations_client::show_wave(const wave_name& wave) const {
    Json::Value parameters(Json::objectValue);
    parameters["wave"] = wave.value();
    return call(call_kind::read, "show_wave", parameters);
}

operations_result<Json::Value> operations_client::set_wave_state(const wave_name& wave,
                                                                 const std::string& state,
                                                                 const std::string& author,
                                                                 const change_id& change) const {
    Json::Value parameters(Json::objectValue);
    parameters["wave"] = wave.value();
    parameters["state"] = state;
    parameters["author"] = author;
    parameters["change"] = change.value();
    return call(call_kind::write, "set_wave_state", parameters);
}

operations_result<Json::Value> operations_client::drain_vm(const vm_id& vm, const std::string& author,
                                                           const operation_id& operation) const {
    Json::Value parameters(Json::objectValue);
    parameters["vm"] = vm.value();
    parameters["author"] = author;
    parameters["operation"] = operation.value();
    return call(call_kind::write, "drain_vm", parameters);
}

}  // namespace masticpass
