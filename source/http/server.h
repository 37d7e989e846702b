#ifndef MASTICPASS_HTTP_SERVER_H
#define MASTICPASS_HTTP_SERVER_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include <absl/time/time.h>
#include <httplib.h>
#include <tl/expected.hpp>

namespace masticpass {

// Options of an HTTP server. The defaults of the library are unsuitable for a server with many callers: a
// listen backlog of 5, 5 requests per connection, and SO_REUSEPORT, which lets a second process share the
// port unnoticed.
struct http_server_options {
    // Each open connection occupies one of these threads; further connections wait until a thread is free.
    std::size_t worker_threads = 16;
    std::uint64_t maximum_request_bytes = 8ULL << 20;
    // Timeouts of a single read and a single write, not of the whole request.
    absl::Duration read_timeout = absl::Seconds(5);
    absl::Duration write_timeout = absl::Seconds(5);
    // How long an idle connection stays open, in whole seconds and at least 1. stop() waits at most this long
    // for idle connections.
    absl::Duration keep_alive_timeout = absl::Seconds(5);
    std::size_t maximum_requests_per_connection = 1000000;
    int listen_backlog = 1024;
};

// An HTTP server that accepts connections on its own thread. Routes must be added before `start`. Thread
// safety: `create`, `start` and `stop` on one thread; the routes run on the worker threads.
class http_server {
public:
    // Binds ip:port; port 0 selects any free port. From then on, connections are accepted and queued; their
    // requests are handled after `start`. The error message says why the address cannot be used.
    static tl::expected<std::unique_ptr<http_server>, std::string> create(const std::string& ip,
                                                                          std::uint16_t port,
                                                                          const http_server_options& options);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    httplib::Server& routes() { return server_; }
    std::uint16_t port() const { return port_; }

    // Starts to handle requests. Call once.
    void start();

    // Stops accepting connections, waits for the running requests and returns when all threads have ended.
    // Idempotent.
    void stop();

private:
    http_server() = default;

    httplib::Server server_;
    std::uint16_t port_ = 0;
    // The bound socket until `start`, which leaves it to server_; -1 afterwards.
    int listening_socket_ = -1;
    std::thread thread_;
};

}  // namespace masticpass

#endif
