#include "status/status_server.h"

#include <utility>

namespace masticpass {

namespace {

constexpr int status_service_unavailable = 503;
constexpr std::size_t worker_threads = 4;

}  // namespace

tl::expected<std::unique_ptr<status_server>, std::string> status_server::create(
    const socket_address& address, std::function<health_state()> health, const metrics_registry& metrics) {
    http_server_options options;
    options.worker_threads = worker_threads;
    options.keep_alive_timeout = absl::Seconds(1);
    auto server = http_server::create(address.ip, address.port, options);
    if (!server) {
        return tl::unexpected(server.error());
    }
    httplib::Server& routes = (*server)->routes();
    routes.Get("/health", [health = std::move(health)](const httplib::Request&, httplib::Response& response) {
        const health_state state = health();
        if (!state.ready) {
            response.status = status_service_unavailable;
        }
        response.set_content(state.ready ? "ready\n" : state.reason + "\n", "text/plain");
    });
    routes.Get("/metrics", [&metrics](const httplib::Request&, httplib::Response& response) {
        response.set_content(metrics.exposition(), "text/plain; version=0.0.4");
    });
    return std::unique_ptr<status_server>(new status_server(std::move(*server)));
}

}  // namespace masticpass
