#include "http/async_http_connection.h"

#include <atomic>
#include <optional>
#include <thread>

#include <doctest/doctest.h>
#include <httplib.h>

namespace masticpass {

namespace {

constexpr http_connection_limits limits = {.connect_timeout = absl::Milliseconds(500),
                                           .call_timeout = absl::Milliseconds(500),
                                           .idle_timeout = absl::Seconds(30)};
constexpr absl::Duration call_timeout = absl::Milliseconds(300);

// A server that echoes the body at /echo, responds too late at /slow and closes the connection after a
// response at /close.
struct echo_server {
    echo_server() {
        server.set_keep_alive_max_count(100);
        server.Post("/echo", [this](const httplib::Request& request, httplib::Response& response) {
            ++requests;
            response.set_content(request.body + request.get_header_value("X-Extra"), "text/plain");
        });
        server.Post("/slow", [](const httplib::Request&, httplib::Response& response) {
            std::this_thread::sleep_for(absl::ToChronoMilliseconds(3 * call_timeout));
            response.set_content("late", "text/plain");
        });
        server.Post("/close", [](const httplib::Request&, httplib::Response& response) {
            response.set_header("Connection", "close");
        });
        port = server.bind_to_any_port("127.0.0.1");
        thread = std::thread([this] { server.listen_after_bind(); });
        while (!server.is_running()) {
            std::this_thread::yield();
        }
    }
    ~echo_server() {
        server.stop();
        thread.join();
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    httplib::Server server;
    std::atomic<int> requests = 0;
    int port = 0;
    std::thread thread;
};

async_http_connection::result call(boost::asio::io_context& loop, async_http_connection& connection,
                                   const std::string& path) {
    std::optional<async_http_connection::result> outcome;
    connection.call({.method = "POST", .path = path, .body = "b", .headers = {{"X-Extra", "x"}}},
                    call_timeout,
                    [&](async_http_connection::result response) { outcome = std::move(response); });
    loop.restart();
    loop.run();
    return outcome.value();
}

}  // namespace

TEST_CASE("consecutive calls on one loop return their responses") {
    echo_server server;
    boost::asio::io_context loop;
    async_http_connection connection(loop, server.address(), limits);
    for (int count = 0; count < 3; ++count) {
        const auto response = call(loop, connection, "/echo");
        REQUIRE(response.has_value());
        CHECK(response->status == 200);
        CHECK(response->body == "bx");
    }
}

// Guards against treating a start order as not sent although the worker may have received it.
TEST_CASE("a call without a response may have been received but a call without a connection was not") {
    boost::asio::io_context loop;
    std::string unused_address;
    {
        echo_server server;
        unused_address = server.address();
        async_http_connection connection(loop, server.address(), limits);
        const auto late = call(loop, connection, "/slow");
        REQUIRE_FALSE(late.has_value());
        CHECK(late.error().may_have_been_received);
        CHECK(call(loop, connection, "/echo").has_value());
    }
    async_http_connection connection(loop, unused_address, limits);
    const auto refused = call(loop, connection, "/echo");
    REQUIRE_FALSE(refused.has_value());
    CHECK_FALSE(refused.error().may_have_been_received);
    async_http_connection malformed_address(loop, "nowhere", limits);
    CHECK_FALSE(call(loop, malformed_address, "/echo").has_value());
}

// Guards against losing orders on a connection that the worker has closed.
TEST_CASE("a connection that the server closed is opened again") {
    echo_server server;
    boost::asio::io_context loop;
    async_http_connection connection(loop, server.address(), limits);
    CHECK(call(loop, connection, "/close").has_value());
    CHECK(call(loop, connection, "/echo").has_value());
    CHECK(server.requests == 1);
}

// Guards against a callback into a destroyed object.
TEST_CASE("the callback of a cancelled call is not invoked") {
    echo_server server;
    boost::asio::io_context loop;
    bool is_called = false;
    {
        async_http_connection connection(loop, server.address(), limits);
        connection.call({.method = "POST", .path = "/slow", .body = "b"}, call_timeout,
                        [&](const async_http_connection::result&) { is_called = true; });
        loop.run_for(std::chrono::milliseconds(50));
    }
    loop.restart();
    loop.run();
    CHECK_FALSE(is_called);
}

}  // namespace masticpass
