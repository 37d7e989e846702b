#include "backend/connection.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace masticpass {

namespace {

// A server whose kernel accepts connections and that never responds.
class silent_server {
public:
    silent_server() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        REQUIRE(::bind(socket_, reinterpret_cast<const sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(socket_, SOMAXCONN) == 0);
        REQUIRE(::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port_ = ntohs(address.sin_port);
    }
    ~silent_server() { ::close(socket_); }
    silent_server(const silent_server&) = delete;
    silent_server& operator=(const silent_server&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    int socket_ = -1;
    int port_ = 0;
};

}  // namespace

// Guards against a timeout that ends a fraction of a millisecond before the deadline and counts as a broken
// connection.
TEST_CASE(
    "an exchange with a silent server times out whatever the fraction of a millisecond in its timeout") {
    const silent_server server;
    for (const int microseconds : {50'001, 50'500, 50'999}) {
        const auto link = connection::create(server.address(), connection_limits());
        REQUIRE(link.has_value());
        exchange_request request;
        request.method = "GET";
        request.path = "/health";
        request.timeout = absl::Microseconds(microseconds);
        const auto response = (*link)->exchange(request);
        REQUIRE(!response.has_value());
        CAPTURE(microseconds);
        REQUIRE(response.error() == exchange_error::timed_out);
    }
}

}  // namespace masticpass
