#ifndef MASTICPASS_OPERATIONS_OPERATIONS_SERVER_H
#define MASTICPASS_OPERATIONS_OPERATIONS_SERVER_H

#include <cstdint>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "http/server.h"
#include "operations/fleet_service.h"

namespace masticpass {

class operations_rpc_handler;
class http_connector;

// Serves the JSON-RPC 2.0 calls of schema/operations.json at `POST /rpc`. Ownership: owns its HTTP server;
// borrows the service, which must outlive it. Thread safety: `create`, `start` and `stop` on one thread.
class operations_server {
public:
    // Binds ip:port; port 0 selects any free port. The error message says why the address cannot be used.
    static tl::expected<std::unique_ptr<operations_server>, std::string> create(const std::string& ip,
                                                                                std::uint16_t port,
                                                                                fleet_service& service);

    operations_server(const operations_server&) = delete;
    operations_server& operator=(const operations_server&) = delete;
    ~operations_server();

    std::uint16_t port() const { return server_->port(); }

    // Starts to handle calls. Call once.
    void start();

    // Returns when all running calls have received their responses. Idempotent.
    void stop();

private:
    operations_server(std::unique_ptr<http_server> server, fleet_service& service);

    std::unique_ptr<http_server> server_;
    std::unique_ptr<http_connector> connector_;
    std::unique_ptr<operations_rpc_handler> handler_;
};

}  // namespace masticpass

#endif
