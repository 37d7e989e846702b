#include "status/status_server.h"

#include <atomic>

#include <doctest/doctest.h>

#include "fakes/raw_server.h"
#include "http/client.h"

namespace masticpass {

// Guards against a load balancer that keeps sending callers to an entry VM that is stopping.
TEST_CASE("a failing health check states the reason and metrics stay available") {
    std::uint16_t port = 0;
    {
        const fakes::raw_server reserved_port([](fakes::raw_connection&, const std::string&) {});
        port = parse_socket_address(reserved_port.address())->port;
    }
    std::atomic<bool> ready = true;
    metrics_registry metrics;
    metrics.count({"masticpass_probe_total", "", ""}, 3);
    auto server = status_server::create(
        {"127.0.0.1", port},
        [&] {
            return health_state{ready, "stopping"};
        },
        metrics);
    REQUIRE(server.has_value());
    (*server)->start();
    const auto client = create_http_client("127.0.0.1", port, {});
    const auto healthy = client->Get("/health");
    REQUIRE(healthy);
    CHECK(healthy->status == 200);
    ready = false;
    const auto refused = client->Get("/health");
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(refused->body == "stopping\n");
    const auto exposition = client->Get("/metrics");
    REQUIRE(exposition);
    CHECK(exposition->body.find("masticpass_probe_total 3") != std::string::npos);
    (*server)->stop();
}

}  // namespace masticpass
