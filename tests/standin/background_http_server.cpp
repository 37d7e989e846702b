#include "standin/background_http_server.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <sys/socket.h>

#include "store/etcd_messages.h"

namespace masticpass::standin {

namespace {

constexpr int listen_backlog = 512;
constexpr std::size_t maximum_requests_per_connection = 1'000'000'000;
constexpr time_t transfer_timeout_seconds = 10;
constexpr std::size_t maximum_payload_bytes = std::size_t{4} << 20U;

}  // namespace

background_http_server::background_http_server(std::size_t maximum_connections,
                                               std::chrono::seconds idle_timeout) {
    server_.new_task_queue = [maximum_connections] { return new httplib::ThreadPool(maximum_connections); };
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_max_count(maximum_requests_per_connection);
    server_.set_keep_alive_timeout(idle_timeout.count());
    server_.set_read_timeout(transfer_timeout_seconds);
    server_.set_write_timeout(transfer_timeout_seconds);
    server_.set_payload_max_length(maximum_payload_bytes);
    // The default socket options of the library set SO_REUSEPORT, which would let two servers share a port
    // unnoticed.
    server_.set_socket_options([this](socket_t socket) {
        const int enabled = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
        listening_socket_ = socket;
    });
}

background_http_server::~background_http_server() {
    if (thread_.joinable()) {
        server_.stop();
        thread_.join();
    }
}

tl::expected<std::string, std::string> background_http_server::start(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    int port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(address.substr(colon + 1), &port) || port < 0) {
        return tl::make_unexpected("not an IP address and port: " + address);
    }
    const std::string host = address.substr(0, colon);
    if (port == 0) {
        port = server_.bind_to_any_port(host);
    } else if (!server_.bind_to_port(host, port)) {
        port = -1;
    }
    // The library listens with a backlog of 5, which is too short if many callers connect at the same time.
    if (port <= 0 || ::listen(listening_socket_, listen_backlog) != 0) {
        return tl::make_unexpected("cannot listen on " + address);
    }
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
        std::this_thread::yield();
    }
    return absl::StrCat(host, ":", port);
}

void respond_json(httplib::Response& response, int status, const Json::Value& body) {
    response.status = status;
    response.set_content(etcd::to_text(body), "application/json");
}

void lose_response(httplib::Response& response) {
    response.body.clear();
    response.set_content_provider(1, "application/json",
                                  [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

}  // namespace masticpass::standin
