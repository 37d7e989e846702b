#ifndef MASTICPASS_STATUS_STATUS_SERVER_H
#define MASTICPASS_STATUS_STATUS_SERVER_H

#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "http/server.h"
#include "settings/socket_address.h"
#include "telemetry/metrics.h"

namespace masticpass {

// Whether the load balancer should send callers to this entry VM, and the reason if it should not.
struct health_state {
    bool ready = false;
    std::string reason;
};

// Serves `GET /health` for the load balancer, with status 200 or 503 and the reason, and `GET /metrics` in
// the Prometheus text format. Ownership: owns its HTTP server; borrows the metrics. Thread safety: `create`,
// `start` and `stop` on one thread. `health` is called on the threads of the server.
class status_server {
public:
    // Binds the address. The error message says why it cannot be used.
    static tl::expected<std::unique_ptr<status_server>, std::string> create(
        const socket_address& address, std::function<health_state()> health, const metrics_registry& metrics);

    void start() { server_->start(); }
    void stop() { server_->stop(); }

private:
    explicit status_server(std::unique_ptr<http_server> server) : server_(std::move(server)) {}

    std::unique_ptr<http_server> server_;
};

}  // namespace masticpass

#endif
