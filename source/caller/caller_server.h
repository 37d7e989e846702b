#ifndef MASTICPASS_CALLER_CALLER_SERVER_H
#define MASTICPASS_CALLER_CALLER_SERVER_H

#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "common/clock.h"
#include "http/server.h"
#include "routing/service_request.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"

namespace masticpass {

// Adds the routes for requests, identities and cancellations to a server. `forwarded` is true if the requests
// are sent by other entry VMs. The handler, clock and metrics must outlive the server.
void add_request_routes(httplib::Server& server, request_handler& handler, const clock& time_source,
                        metrics_registry& metrics, bool forwarded);

// The HTTP server for callers. A connection occupies one thread while it is open.
// Ownership: owns its server; borrows the handler, clock and metrics.
// Thread safety: `create`, `start` and `stop` on one thread.
class caller_server {
public:
    // Binds the address for callers. The error says why it cannot be used.
    static tl::expected<std::unique_ptr<caller_server>, std::string> create(const settings& configured,
                                                                            request_handler& handler,
                                                                            const clock& time_source,
                                                                            metrics_registry& metrics);

    // Starts to handle requests.
    void start() { server_->start(); }

    // Accepts no more connections and returns after the responses to all running requests.
    void stop() { server_->stop(); }

private:
    explicit caller_server(std::unique_ptr<http_server> server) : server_(std::move(server)) {}

    std::unique_ptr<http_server> server_;
};

}  // namespace masticpass

#endif
