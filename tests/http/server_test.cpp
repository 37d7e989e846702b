#include "http/server.h"

#include <chrono>
#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "http/client.h"

namespace masticpass {

namespace {

std::unique_ptr<http_server> start_server(const http_server_options& options) {
    auto created = http_server::create("127.0.0.1", 0, options);
    REQUIRE(created.has_value());
    (*created)->routes().Get("/", [](const httplib::Request&, httplib::Response& response) {
        response.set_content("ok", "text/plain");
    });
    (*created)->routes().Post("/", [](const httplib::Request&, httplib::Response&) {});
    return *std::move(created);
}

}  // namespace

// Guards against SO_REUSEPORT, which the library sets by default and with which two processes share a port
// unnoticed.
TEST_CASE("binding a port in use fails") {
    const auto server = start_server({});
    const auto second = http_server::create("127.0.0.1", server->port(), {});
    REQUIRE_FALSE(second.has_value());
    CHECK(second.error().find("cannot listen on 127.0.0.1") == 0);
}

// Guards against the library's limit of 5 requests per connection.
TEST_CASE("a connection carries many requests") {
    const auto server = start_server({});
    server->start();
    int connections = 0;
    const auto client = create_http_client("127.0.0.1", server->port(), {});
    client->set_socket_options([&](int) { ++connections; });
    for (int request = 0; request < 50; ++request) {
        const auto response = client->Get("/");
        REQUIRE(response);
        CHECK(response->body == "ok");
    }
    CHECK(connections == 1);
}

// Guards against the library's listen backlog of 5, which drops a burst of new connections.
TEST_CASE("a burst of connections is queued before the server starts") {
    const auto server = start_server({});
    const http_client_options options = {.connect_timeout = absl::Milliseconds(500),
                                         .read_timeout = absl::Milliseconds(1)};
    std::vector<std::unique_ptr<httplib::Client>> clients;
    for (int index = 0; index < 40; ++index) {
        clients.push_back(create_http_client("127.0.0.1", server->port(), options));
        const auto response = clients.back()->Get("/");
        // The connection was opened; only the response is missing, since the server has not started.
        CHECK(response.error() == httplib::Error::Read);
    }
}

TEST_CASE("a request above the payload limit is refused") {
    const auto server = start_server({.maximum_request_bytes = 1000});
    server->start();
    const auto client = create_http_client("127.0.0.1", server->port(), {});
    const auto response = client->Post("/", std::string(1001, 'x'), "text/plain");
    REQUIRE(response);
    CHECK(response->status == 413);
}

// Guards against a stop that waits forever for idle connections or leaves the port bound.
TEST_CASE("a server stops within the keep-alive timeout and frees its port") {
    auto server = start_server({.keep_alive_timeout = absl::Seconds(1)});
    const std::uint16_t port = server->port();
    server->start();
    const auto client = create_http_client("127.0.0.1", port, {});
    REQUIRE(client->Get("/"));
    const auto before = std::chrono::steady_clock::now();
    server->stop();
    CHECK(std::chrono::steady_clock::now() - before < std::chrono::seconds(10));
    server->stop();
    CHECK(http_server::create("127.0.0.1", port, {}).has_value());
}

}  // namespace masticpass
