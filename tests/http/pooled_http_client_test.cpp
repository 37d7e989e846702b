#include "http/pooled_http_client.h"

#include <atomic>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace masticpass {

namespace {

constexpr http_connection_limits short_limits = {.connect_timeout = absl::Milliseconds(500),
                                                 .call_timeout = absl::Milliseconds(100)};

// Accepts one connection and reads from it, but never responds.
class silent_server {
public:
    silent_server() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        REQUIRE(listen(listener_, 1) == 0);
        socklen_t size = sizeof(address);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }
    silent_server(const silent_server&) = delete;
    silent_server& operator=(const silent_server&) = delete;
    ~silent_server() {
        if (thread_.joinable()) {
            thread_.join();
        }
        close(listener_);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    // Waits until the client closes the connection. Returns whether the connection was reset, instead of
    // closed in an orderly way.
    bool wait_for_reset() {
        thread_.join();
        return was_reset_;
    }

private:
    void serve() {
        const int connection = accept(listener_, nullptr, nullptr);
        char bytes[1024];
        ssize_t count = 0;
        do {
            count = recv(connection, bytes, sizeof(bytes), 0);
        } while (count > 0);
        // After an orderly close by the client, this side stays open and reports no event.
        pollfd end{.fd = connection, .events = 0, .revents = 0};
        poll(&end, 1, 1000);
        was_reset_ = count < 0 || (end.revents & POLLERR) != 0 || (end.revents & POLLHUP) != 0;
        close(connection);
    }

    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> was_reset_ = false;
    std::thread thread_;
};

}  // namespace

// Guards against orders that are delivered after their sender has abandoned them. After an orderly close the
// system still sends queued data; when an interrupted network recovers, the order could arrive after the
// orders of another owner.
TEST_CASE("a call that times out resets its connection") {
    silent_server server;
    pooled_http_client client(server.address(), short_limits);
    const auto response = client.call({.method = "POST", .path = "/", .body = "{}"}, absl::Milliseconds(100));
    REQUIRE_FALSE(response.has_value());
    CHECK(response.error().may_have_been_received);
    CHECK(server.wait_for_reset());
}

// Guards against treating a start order that was never sent as one that may have been received, which would
// hold back its task.
TEST_CASE("a call that cannot connect was not received") {
    pooled_http_client client("127.0.0.1:1", short_limits);
    const auto response = client.call({.path = "/"}, absl::Milliseconds(100));
    REQUIRE_FALSE(response.has_value());
    CHECK_FALSE(response.error().may_have_been_received);
}

}  // namespace masticpass
