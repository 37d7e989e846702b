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

// Limits of an HTTP server. The library's own defaults do not fit a server with many callers: a listen
// backlog of 5, 5 requests per connection and SO_REUSEPORT, which lets a second process share the port
// unnoticed.
struct http_server_options {
    // Each open connection takes one of these threads; further connections wait.
    std::size_t worker_threads = 16;
    std::uint64_t maximum_request_bytes = 8ULL << 20;
    // Timeouts of one read and one write, not of the whole request.
    absl::Duration read_timeout = absl::Seconds(5);
    absl::Duration write_timeout = absl::Seconds(5);
    // How long an idle connection stays open, in whole seconds, at least 1. A stop waits at most that long
    // for idle connections.
    absl::Duration keep_alive_timeout = absl::Seconds(5);
    std::size_t maximum_requests_per_connection = 1000000;
    int listen_backlog = 1024;
};

// An HTTP server on its own thread. Add routes before `start`.
// Thread safety: `create`, `start` and `stop` on one thread; the routes run on the worker threads.
class http_server {
public:
    // Binds ip:port. Port 0 takes any free port. Connections are accepted from then on and answered after
    // `start`. The error says why the address cannot be used.
    static tl::expected<std::unique_ptr<http_server>, std::string> create(const std::string& ip,
                                                                          std::uint16_t port,
                                                                          const http_server_options& options);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    httplib::Server& routes() { return server_; }
    std::uint16_t port() const { return port_; }

    // Starts to answer. Call once.
    void start();

    // Takes no new connections, waits for the requests that run, and returns when all threads ended.
    // Idempotent.
    void stop();

private:
    http_server() = default;

    httplib::Server server_;
    std::uint16_t port_ = 0;
    // Owned by server_ once the thread runs.
    int listening_socket_ = -1;
    std::thread thread_;
};

}  // namespace masticpass

#endif
