#include "operations/operations_server.h"

#include <exception>
#include <utility>

#include <jsonrpccpp/common/errors.h>

#include "decision/configuration/json_object_reader.h"
#include "json_rpc/http_connector.h"
#include "operations/operations_rpc_handler.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

// Only a few operators and scripts call at the same time, and no call carries more than a configuration,
// which has at most 1 MB.
constexpr std::size_t worker_threads = 8;
constexpr std::uint64_t maximum_request_bytes = 2ULL << 20;

// The library does not catch the exceptions of its JSON parser, for example for a text that is nested too
// deeply. operations_rpc_handler converts all other exceptions to errors, so no method of the service has
// been called when this handler runs.
void respond_to_malformed_request(const httplib::Request&, httplib::Response& response,
                                  const std::exception_ptr&) {
    log_event(log_severity::warning, "operations_request_malformed");
    Json::Value body(Json::objectValue);
    body["jsonrpc"] = "2.0";
    body["id"] = Json::nullValue;
    body["error"]["code"] = jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
    body["error"]["message"] = "the request is not valid JSON";
    response.status = 200;
    response.set_content(write_json(body), "application/json");
}

}  // namespace

tl::expected<std::unique_ptr<operations_server>, std::string> operations_server::create(
    const std::string& ip, std::uint16_t port, fleet_service& service) {
    http_server_options options;
    options.worker_threads = worker_threads;
    options.maximum_request_bytes = maximum_request_bytes;
    options.keep_alive_timeout = absl::Seconds(1);
    auto server = http_server::create(ip, port, options);
    if (!server) {
        return tl::unexpected(server.error());
    }
    return std::unique_ptr<operations_server>(new operations_server(std::move(*server), service));
}

operations_server::operations_server(std::unique_ptr<http_server> server, fleet_service& service)
    : server_(std::move(server)),
      connector_(std::make_unique<http_connector>(server_->routes(), "/rpc")),
      handler_(std::make_unique<operations_rpc_handler>(*connector_, service)) {
    server_->routes().set_exception_handler(&respond_to_malformed_request);
}

operations_server::~operations_server() {
    stop();
}

void operations_server::start() {
    server_->start();
}

void operations_server::stop() {
    server_->stop();
}

}  // namespace masticpass
