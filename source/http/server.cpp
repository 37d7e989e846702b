#include "http/server.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <exception>
#include <system_error>

#include <sys/socket.h>
#include <unistd.h>

#include "telemetry/guarded_call.h"

namespace masticpass {

namespace {

constexpr int status_internal_error = 500;

void apply_options(httplib::Server& server, const http_server_options& options) {
    server.set_tcp_nodelay(true);
    server.set_read_timeout(absl::ToChronoMicroseconds(options.read_timeout));
    server.set_write_timeout(absl::ToChronoMicroseconds(options.write_timeout));
    server.set_keep_alive_timeout(
        std::max<std::int64_t>(1, absl::ToInt64Seconds(options.keep_alive_timeout)));
    server.set_keep_alive_max_count(options.maximum_requests_per_connection);
    server.set_payload_max_length(options.maximum_request_bytes);
    server.set_exception_handler(
        [](const httplib::Request& request, httplib::Response& response, const std::exception_ptr& thrown) {
            call_guarded("handle " + request.method, [&] { std::rethrow_exception(thrown); });
            response.status = status_internal_error;
        });
    server.new_task_queue = [threads = options.worker_threads] { return new httplib::ThreadPool(threads); };
}

// Allows a restarted process to bind its port while old connections of that port are in TIME_WAIT.
void allow_address_reuse(int socket) {
    const int enabled = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
}

}  // namespace

tl::expected<std::unique_ptr<http_server>, std::string> http_server::create(
    const std::string& ip, std::uint16_t port, const http_server_options& options) {
    std::unique_ptr<http_server> created(new http_server());
    httplib::Server& server = created->server_;
    apply_options(server, options);
    server.set_socket_options([&created](int socket) {
        created->listening_socket_ = socket;
        allow_address_reuse(socket);
    });
    errno = 0;
    int bound_port = port;
    if (port == 0) {
        bound_port = server.bind_to_any_port(ip);
    } else if (!server.bind_to_port(ip, port)) {
        bound_port = -1;
    }
    if (bound_port <= 0) {
        // The library has already closed the socket.
        created->listening_socket_ = -1;
        return tl::unexpected("cannot listen on " + ip + ":" + std::to_string(port) + ": " +
                              std::generic_category().message(errno));
    }
    // The library has called listen() with a backlog of 5. A second call replaces the backlog.
    ::listen(created->listening_socket_, options.listen_backlog);
    created->port_ = static_cast<std::uint16_t>(bound_port);
    server.set_socket_options(nullptr);
    return created;
}

http_server::~http_server() {
    stop();
}

void http_server::start() {
    listening_socket_ = -1;
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    // Waits until the loop runs, since a stop before that would have no effect.
    while (!server_.is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void http_server::stop() {
    if (listening_socket_ >= 0) {
        ::close(listening_socket_);
        listening_socket_ = -1;
        return;
    }
    server_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

}  // namespace masticpass
