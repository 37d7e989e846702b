#include "agent/membership_agent.h"

#include <atomic>
#include <memory>

#include <doctest/doctest.h>

#include "decision/configuration/sample.h"
#include "decision/membership/incarnation.h"
#include "fakes/fake_peer_client.h"
#include "fakes/raw_server.h"
#include "fakes/wait_until.h"

namespace masticpass {

namespace {

incarnation_id incarnation(int number) {
    return make_incarnation_id(absl::UnixEpoch() + absl::Seconds(number), 0);
}

struct fixture {
    std::unique_ptr<fakes::raw_server> peer_process =
        std::make_unique<fakes::raw_server>([](fakes::raw_connection&, const std::string&) {});
    const std::string peer_address = peer_process->address();
    settings configured;
    fakes::fake_peer_client peers;
    record_cache records{[](const record&) {}};
    monotonic_clock time;
    metrics_registry metrics;
    std::atomic<std::uint64_t> own_revision = 1;
    std::atomic<int> received = 0;
    std::atomic<int> gone = 0;
    std::atomic<int> exchanges = 0;
    std::atomic<bool> answers = true;
    std::atomic<peer_error> failure = peer_error::no_answer;
    std::unique_ptr<membership_agent> agent;

    fixture() {
        configured.entry = {entry_id("e1"), region_name("r"), zone_name("z")};
        configured.listen.peer = {"127.0.0.1", 7001};
        configured.timing.heartbeat = absl::Milliseconds(20);
    }

    heartbeat beat(int number, std::uint64_t revision = 1) const {
        heartbeat result;
        result.entry = entry_id("e2");
        result.incarnation = incarnation(number);
        result.zone = zone_name("z");
        result.address = peer_address;
        result.configuration_revision = revision;
        result.record_revision = revision;
        return result;
    }

    void start() {
        agent = std::make_unique<membership_agent>(
            configured, incarnation(1), peers, records, time, metrics,
            membership_events{[this] {
                                  heartbeat own;
                                  own.entry = entry_id("e1");
                                  own.incarnation = incarnation(1);
                                  own.configuration_revision = own_revision;
                                  own.record_revision = own_revision;
                                  return own;
                              },
                              [this](const heartbeat&) { ++received; },
                              [this](const incarnation_id&) { ++gone; },
                              [](const std::vector<once_transfer>&) { return false; }});
    }

    void exchange_with(std::uint64_t peer_revision) {
        peers.on_heartbeat = [this, peer_revision](const std::string&,
                                                   const heartbeat&) -> tl::expected<heartbeat, peer_error> {
            ++exchanges;
            if (!answers) {
                return tl::unexpected(failure.load());
            }
            return beat(2, peer_revision);
        };
        start();
        agent->set_registered({peer_address, "127.0.0.1:7001"});
    }

    void wait_for_exchanges(int count) {
        const int before = exchanges;
        REQUIRE(fakes::wait_until([&] { return exchanges >= before + count; }));
    }
};

}  // namespace

// Guards against an entry VM that stays behind although a peer has the newer configuration.
TEST_CASE_FIXTURE(fixture, "an entry VM that is behind pulls, also from revision 0 for the configuration") {
    own_revision = 5;
    std::atomic<std::uint64_t> asked = 99;
    peers.on_records_after = [&](std::uint64_t revision) {
        asked = revision;
        own_revision = 7;
        return std::vector<record>{{"config", "x", 7}};
    };
    exchange_with(7);
    REQUIRE(fakes::wait_until([&] { return records.find("config").has_value(); }));
    CHECK(asked == 0);
    agent->stop();
}

// Guards against a peer that stays behind.
TEST_CASE_FIXTURE(fixture, "a peer that is behind gets the configuration") {
    own_revision = 7;
    records.offer({"config", "x", 7});
    std::atomic<int> pushed = 0;
    peers.on_push = [&](const std::vector<record>& sent) {
        pushed += sent.size() == 1 && sent.front().revision == 7 ? 1 : 0;
    };
    exchange_with(6);
    CHECK(fakes::wait_until([&] { return pushed > 0; }));
    agent->stop();
}

// Guards against slots that are taken from a process that is only silent, or kept for one that is gone.
TEST_CASE_FIXTURE(fixture, "silence proves nothing, a refused connection proves an entry VM gone") {
    exchange_with(1);
    REQUIRE(fakes::wait_until([&] { return received > 0; }));
    answers = false;
    wait_for_exchanges(3);
    failure = peer_error::refused;
    wait_for_exchanges(3);
    CHECK(gone == 0);
    CHECK_FALSE(agent->is_gone(entry_id("e2"), incarnation(2)));
    peer_process.reset();
    REQUIRE(fakes::wait_until([&] { return gone == 1; }));
    CHECK(agent->is_gone(entry_id("e2"), incarnation(2)));
    wait_for_exchanges(3);
    CHECK(gone == 1);
    CHECK(agent->alive(zone_name()).empty());
    agent->stop();
}

// Guards against a late heartbeat of an earlier process that takes the place of its successor.
TEST_CASE_FIXTURE(fixture, "a newer incarnation replaces an older one and not the reverse") {
    start();
    CHECK(agent->receive_heartbeat(beat(2)).incarnation == incarnation(1));
    agent->receive_heartbeat(beat(3));
    CHECK(gone == 1);
    CHECK(received == 2);
    agent->receive_heartbeat(beat(2));
    CHECK(received == 2);
    CHECK(agent->latest().front().incarnation == incarnation(3));
    CHECK(agent->candidates(zone_name("z")).size() == 2);
    heartbeat own = beat(1);
    own.entry = entry_id("e1");
    agent->receive_heartbeat(own);
    CHECK(received == 2);
}

// Guards against a second process with the same entry id, whose start would free the slots of the one that
// runs, and against slots of the older one that stay unused after its process ended.
TEST_CASE_FIXTURE(
    fixture, "a newer incarnation at another address proves the older one gone only when it is refused") {
    std::atomic<int> exchanged = 0;
    peers.on_heartbeat = [&](const std::string&, const heartbeat&) -> tl::expected<heartbeat, peer_error> {
        ++exchanged;
        return tl::unexpected(peer_error::no_answer);
    };
    start();
    agent->receive_heartbeat(beat(2));
    heartbeat second = beat(3);
    second.address = "127.0.0.1:7003";
    agent->receive_heartbeat(second);
    CHECK(agent->latest().front().incarnation == incarnation(3));
    agent->set_registered({peer_address});
    REQUIRE(fakes::wait_until([&] { return exchanged >= 3; }));
    CHECK(gone == 0);
    CHECK_FALSE(agent->is_gone(entry_id("e2"), incarnation(2)));
    peer_process.reset();
    REQUIRE(fakes::wait_until([&] { return gone == 1; }));
    CHECK(agent->is_gone(entry_id("e2"), incarnation(2)));
    CHECK_FALSE(agent->is_gone(entry_id("e2"), incarnation(3)));
    agent->stop();
}

}  // namespace masticpass
