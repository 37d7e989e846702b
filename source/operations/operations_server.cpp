#include "operations/operations_server.h"

#include <exception>
#include <utility>

#include "json_rpc/http_connector.h"
#include "operations/fleet_calls.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

// A few operators and scripts call at the same time, and no call carries more than a configuration of 1 MB.
constexpr std::size_t worker_threads = 8;
constexpr std::uint64_t largest_request = 2ULL << 20;

// The library lets exceptions of its JSON parser pass, for example for a text that is nested too deeply, as
// well as those of the service.
void answer_exception(const httplib::Request&, httplib::Response& response, std::exception_ptr exception) {
    std::string reason = "unknown exception";
    try {
        std::rethrow_exception(std::move(exception));
    } catch (const std::exception& caught) {
        reason = caught.what();
    } catch (...) {
        reason = "exception of unknown type";
    }
    log_event(log_severity::error, "operations_call_failed", {{"reason", reason}});
    Json::Value answer(Json::objectValue);
    answer["jsonrpc"] = "2.0";
    answer["id"] = Json::nullValue;
    answer["error"]["code"] = static_cast<int>(operations_error_code::internal);
    answer["error"]["message"] = "the call ended with a fault; it may have taken effect";
    response.status = 200;
    response.set_content(Json::FastWriter().write(answer), "application/json");
}

}  // namespace

tl::expected<std::unique_ptr<operations_server>, std::string> operations_server::create(
    const std::string& ip, std::uint16_t port, fleet_service& service) {
    http_server_options options;
    options.worker_threads = worker_threads;
    options.request_bytes = largest_request;
    options.keep_alive = absl::Seconds(1);
    auto server = http_server::create(ip, port, options);
    if (!server) {
        return tl::unexpected(server.error());
    }
    return std::unique_ptr<operations_server>(new operations_server(std::move(*server), service));
}

operations_server::operations_server(std::unique_ptr<http_server> server, fleet_service& service)
    : server_(std::move(server)),
      connector_(std::make_unique<http_connector>(server_->routes(), "/rpc")),
      calls_(std::make_unique<fleet_calls>(*connector_, service)) {
    server_->routes().set_exception_handler(&answer_exception);
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
