#include "peer/peer_server.h"

#include <atomic>
#include <random>

#include <doctest/doctest.h>

#include "fakes/raw_server.h"
#include "fakes/wait_until.h"
#include "peer/http_peer_client.h"
#include "peer/process_check.h"

namespace masticpass {

namespace {

heartbeat full_heartbeat() {
    heartbeat beat;
    beat.entry = entry_id("e2");
    beat.incarnation = incarnation_id("i2");
    beat.region = region_name("r");
    beat.zone = zone_name("z");
    beat.address = "127.0.0.1:7002";
    beat.configuration_revision = 18'446'744'073'709'551'615ULL;
    beat.record_revision = 12;
    beat.store_reachable = true;
    beat.stopping = true;
    beat.allotment_epoch = 3;
    beat.unsettled = {vm_id("v1")};
    beat.services = {{service_name("s"), 4, 2, 1.5}};
    beat.observations = {{vm_id("v1"), boot_id("b1"), server_condition::leaving},
                         {vm_id("v2"), boot_id("b2"), server_condition::ejected}};
    beat.drained = {{vm_id("v3"), operation_id("o1")}};
    return beat;
}

struct fake_peer_handler final : peer_handler {
    heartbeat receive_heartbeat(const heartbeat& beat) override { return beat; }
    std::vector<record> records_after(std::uint64_t revision) override {
        return {{"config", "x", revision + 1}};
    }
    bool take_over_identities(const std::vector<identity_transfer>& transfers) override {
        taken_over = transfers;
        return true;
    }
    void receive_records(const std::vector<record>& records) override { received = records; }
    std::vector<record> received;
    std::vector<identity_transfer> taken_over;
};

struct fake_request_handler final : request_handler {
    request_result handle(const service_request& request) override {
        last = request;
        return result;
    }
    tl::expected<std::vector<request_id>, refusal> issue_identities(std::size_t count) override {
        return std::vector<request_id>(count, request_id("i1.1"));
    }
    bool is_unused(const request_id&) override { return false; }
    verdict cancel(const request_id& id, bool forwarded) override {
        return forwarded && id == request_id("c1") ? verdict::not_run : verdict::may_have_run;
    }
    service_request last;
    request_result result = service_response{200, "text/plain", "done"};
};

// Returns a loopback port that is free at the moment.
std::uint16_t free_port() {
    const fakes::raw_server server([](fakes::raw_connection&, const std::string&) {});
    return parse_socket_address(server.address())->port;
}

struct fixture {
    settings configured;
    fake_peer_handler peers;
    fake_request_handler requests;
    monotonic_clock time;
    metrics_registry metrics;
    std::unique_ptr<peer_server> server;
    http_peer_client client{absl::Seconds(5), {}, time};
    std::string address;

    fixture() {
        configured.listen.peer = {"127.0.0.1", free_port()};
        configured.limits.request_bytes = 1000;
        address = to_string(configured.listen.peer);
        auto created = peer_server::create(configured, peers, requests, time, metrics);
        REQUIRE(created.has_value());
        server = std::move(*created);
        server->start();
    }

    service_request request() const {
        service_request result;
        result.service = service_name("s");
        result.deadline = time.now() + absl::Seconds(20);
        result.repeatable = true;
        result.body = "work";
        return result;
    }
};

}  // namespace

// Guards against a member that the sender writes and the receiver does not read.
TEST_CASE_FIXTURE(fixture, "heartbeats and records pass between entry VMs unchanged") {
    const auto response = client.exchange_heartbeat(address, full_heartbeat());
    REQUIRE(response.has_value());
    CHECK(to_json(*response) == to_json(full_heartbeat()));
    const auto pulled = client.records_after(address, 41);
    REQUIRE(pulled.has_value());
    CHECK(pulled->front().revision == 42);
    CHECK(client.push_records(address, {{"config", "y", 7}}).has_value());
    CHECK(peers.received.front().value == "y");
}

// Guards against idle connections between the entry VMs of each pair, which the server library polls every 11
// ms.
TEST_CASE_FIXTURE(fixture, "a call to a peer leaves no connection open") {
    std::atomic<int> close_headers = 0;
    const fakes::raw_server peer([&](fakes::raw_connection& link, const std::string& request) {
        close_headers += request.find("Connection: close\r\n") != std::string::npos ? 1 : 0;
        link.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    });
    static_cast<void>(client.exchange_heartbeat(peer.address(), full_heartbeat()));
    static_cast<void>(client.exchange_heartbeat(peer.address(), full_heartbeat()));
    CHECK(close_headers == 2);
    CHECK(peer.accepted_connections() == 2);
    CHECK(fakes::wait_until([&] { return peer.closed_connections() == 2; }));
}

// Guards against a forwarded request that is forwarded again, and against a changed verdict.
TEST_CASE_FIXTURE(fixture, "requests and cancellations are marked as forwarded and keep their verdicts") {
    const auto done = client.forward(address, request());
    REQUIRE(done.has_value());
    CHECK(done->body == "done");
    CHECK(requests.last.forwarded);
    CHECK(requests.last.body == "work");
    requests.result =
        tl::unexpected(refusal{verdict::may_have_run, refusal_reason::connection_lost, "connection lost"});
    const auto failed = client.forward(address, request());
    REQUIRE_FALSE(failed.has_value());
    CHECK(failed.error().outcome == verdict::may_have_run);
    CHECK(failed.error().reason == refusal_reason::connection_lost);
    CHECK(client.cancel(address, request_id("c1")) == verdict::not_run);
    CHECK(client.cancel(address, request_id("c2")) == verdict::may_have_run);
    service_request large = request();
    large.body = std::string(2000, 'x');
    CHECK(client.forward(address, large).error().reason == refusal_reason::request_too_large);
}

// Guards against "not run" for a request that was sent, and against the error `not_connected` for a peer that
// closes the connection without a response.
TEST_CASE_FIXTURE(fixture,
                  "a request without a response may have run, a request on a refused connection has not") {
    {
        const fakes::raw_server closing_server(
            [](fakes::raw_connection& link, const std::string&) { link.close(); });
        const auto lost = client.forward(closing_server.address(), request());
        CHECK(lost.error().outcome == verdict::may_have_run);
        CHECK(lost.error().reason == refusal_reason::peer_unreachable);
        CHECK(client.exchange_heartbeat(closing_server.address(), full_heartbeat()).error() ==
              peer_error::no_response);
        CHECK(client.cancel(closing_server.address(), request_id("c1")) == verdict::may_have_run);
    }
    server->stop();
    server.reset();
    const auto refused = client.forward(address, request());
    CHECK(refused.error().outcome == verdict::not_run);
    CHECK(client.exchange_heartbeat(address, full_heartbeat()).error() == peer_error::not_connected);
}

// Guards against a malformed message of a peer that is taken for a valid one or terminates the process.
TEST_CASE("mutated heartbeats and records are refused or survive a round trip") {
    constexpr unsigned seed = 4'711;
    std::mt19937 random(seed);
    const std::string beat = Json::writeString(Json::StreamWriterBuilder(), to_json(full_heartbeat()));
    const std::string records =
        Json::writeString(Json::StreamWriterBuilder(), to_json(std::vector<record>{{"k", "v", 3}}));
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    for (int run = 0; run < 20'000; ++run) {
        std::string text = run % 2 == 0 ? beat : records;
        for (unsigned change = 0; change <= random() % 3; ++change) {
            text[random() % text.size()] = "0-9\"{}[],:aetn.E"[random() % 16];
        }
        Json::Value value;
        if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr)) {
            continue;
        }
        CAPTURE(text);
        if (const auto parsed = parse_heartbeat(value)) {
            CHECK(parse_heartbeat(to_json(*parsed)).has_value());
        }
        if (const auto parsed = parse_records(value)) {
            CHECK(parse_records(to_json(*parsed))->size() == parsed->size());
        }
    }
    for (const std::string& member : to_json(full_heartbeat()).getMemberNames()) {
        CAPTURE(member);
        Json::Value value = to_json(full_heartbeat());
        value[member] = Json::objectValue;
        CHECK_FALSE(parse_heartbeat(value).has_value());
        value.removeMember(member);
        CHECK_FALSE(parse_heartbeat(value).has_value());
    }
    CHECK_FALSE(parse_heartbeat(Json::Value(1)).has_value());
    CHECK_FALSE(parse_records(Json::Value(Json::objectValue)).has_value());
}

// Guards against taking a process for terminated that is only suspended or unreachable.
TEST_CASE("only a refused connection proves that a process is terminated") {
    const absl::Duration timeout = absl::Milliseconds(200);
    const fakes::raw_server silent([](fakes::raw_connection&, const std::string&) {});
    CHECK_FALSE(is_process_terminated(*parse_socket_address(silent.address()), timeout));
    CHECK(is_process_terminated({"127.0.0.1", free_port()}, timeout));
    CHECK_FALSE(is_process_terminated({"not an address", 80}, timeout));
}

}  // namespace masticpass
