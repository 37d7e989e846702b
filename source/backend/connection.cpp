#include "backend/connection.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "common/clock.h"

namespace masticpass {

namespace {

// The kernel closes a connection whose network path is lost after idle + interval x count seconds.
constexpr int keepalive_idle_seconds = 1;
constexpr int keepalive_interval_seconds = 1;
constexpr int keepalive_count = 2;
// Time after which the kernel closes a connection whose sent bytes are not acknowledged.
constexpr unsigned user_timeout_milliseconds = 3000;

void set_option(int socket, int level, int name, int value) {
    ::setsockopt(socket, level, name, &value, sizeof value);
}

void set_liveness_options(int socket) {
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_seconds);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_count);
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_milliseconds,
                 sizeof user_timeout_milliseconds);
}

bool has_explicit_length(const httplib::Response& response) {
    constexpr int status_no_content = 204;
    return response.status == status_no_content || response.has_header("Content-Length") ||
           response.get_header_value("Transfer-Encoding") == "chunked";
}

exchange_error to_exchange_error(httplib::Error error, bool too_large, bool is_deadline_passed) {
    if (too_large) {
        return exchange_error::too_large;
    }
    switch (error) {
        case httplib::Error::Connection:
        case httplib::Error::ConnectionTimeout:
        case httplib::Error::BindIPAddress:
            return exchange_error::not_sent;
        default:
            return is_deadline_passed ? exchange_error::timed_out : exchange_error::broken;
    }
}

template <typename Setter>
void set_timeout(absl::Duration timeout, Setter setter) {
    // The library truncates timeouts to whole milliseconds. A timeout that is not rounded up would end before
    // the deadline and would be taken for a broken connection.
    const absl::Duration positive =
        absl::Ceil(std::max(timeout, absl::Milliseconds(1)), absl::Milliseconds(1));
    const timeval value = absl::ToTimeval(positive);
    setter(value.tv_sec, value.tv_usec);
}

}  // namespace

tl::expected<std::unique_ptr<connection>, std::string> connection::create(std::string_view address,
                                                                          const connection_limits& limits,
                                                                          connection_permit permit) {
    const std::size_t colon = address.rfind(':');
    int port = 0;
    if (colon == std::string_view::npos || !absl::SimpleAtoi(std::string(address.substr(colon + 1)), &port)) {
        return tl::unexpected("not an IP address and a port: " + std::string(address));
    }
    return std::unique_ptr<connection>(
        new connection(std::string(address.substr(0, colon)), port, limits, std::move(permit)));
}

connection::connection(const std::string& host, int port, const connection_limits& limits,
                       connection_permit permit)
    : permit_(std::move(permit)), limits_(limits), client_(host, port) {
    client_.set_tcp_nodelay(true);
    client_.set_keep_alive(true);
    client_.set_follow_location(false);
    set_timeout(limits.connect_timeout, [this](auto seconds, auto microseconds) {
        client_.set_connection_timeout(seconds, microseconds);
    });
    client_.set_socket_options([this](int socket) {
        socket_ = socket;
        set_liveness_options(socket);
    });
}

tl::expected<httplib::Response, exchange_error> connection::exchange(const exchange_request& request) {
    const absl::Time deadline = monotonic_clock().now() + request.timeout;
    set_timeout(request.timeout,
                [this](auto seconds, auto microseconds) { client_.set_read_timeout(seconds, microseconds); });
    set_timeout(request.timeout, [this](auto seconds, auto microseconds) {
        client_.set_write_timeout(seconds, microseconds);
    });

    httplib::Request message;
    message.method = request.method;
    message.path = request.path;
    message.headers = request.headers;
    message.body = std::string(request.body);
    std::string body;
    bool too_large = false;
    message.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        too_large = body.size() + size > limits_.response_bytes;
        if (too_large || monotonic_clock().now() > deadline) {
            return false;
        }
        body.append(data, size);
        return true;
    };

    httplib::Result result = client_.send(message);
    if (!result) {
        return tl::unexpected(
            to_exchange_error(result.error(), too_large, monotonic_clock().now() >= deadline));
    }
    if (!has_explicit_length(*result)) {
        return tl::unexpected(exchange_error::unbounded_response);
    }
    httplib::Response response = std::move(*result);
    response.body = std::move(body);
    return response;
}

bool connection::is_reusable() const {
    if (socket_ < 0 || client_.is_socket_open() == 0) {
        return false;
    }
    pollfd state{socket_, POLLIN, 0};
    return ::poll(&state, 1, 0) == 0;
}

}  // namespace masticpass
