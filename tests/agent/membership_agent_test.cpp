#include "agent/membership_agent.h"

#include <atomic>
#include <memory>
#include <random>

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
    std::mt19937_64 random{1};
    std::atomic<std::uint64_t> own_revision = 1;
    std::atomic<int> heartbeats_received = 0;
    std::atomic<int> terminations = 0;
    std::atomic<int> exchanges = 0;
    std::atomic<bool> peer_responds = true;
    std::atomic<peer_error> failure = peer_error::no_response;
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
            configured, incarnation(1), peers, records, time, metrics, random,
            membership_callbacks{[this] {
                                     heartbeat own;
                                     own.entry = entry_id("e1");
                                     own.incarnation = incarnation(1);
                                     own.configuration_revision = own_revision;
                                     own.record_revision = own_revision;
                                     return own;
                                 },
                                 [this](const heartbeat&) { ++heartbeats_received; },
                                 [this](const incarnation_id&) { ++terminations; },
                                 [](const std::vector<identity_transfer>&) { return false; }});
    }

    void exchange_with(std::uint64_t peer_revision) {
        peers.on_heartbeat = [this, peer_revision](const std::string&,
                                                   const heartbeat&) -> tl::expected<heartbeat, peer_error> {
            ++exchanges;
            if (!peer_responds) {
                return tl::unexpected(failure.load());
            }
            return beat(2, peer_revision);
        };
        start();
        agent->set_registered({peer_address, to_string(configured.listen.peer)});
    }

    void wait_for_exchanges(int count) {
        const int before = exchanges;
        REQUIRE(fakes::wait_until([&] { return exchanges >= before + count; }));
    }
};

// One entry VM of a pair that exchanges heartbeats.
struct pair_end {
    settings configured;
    fakes::fake_peer_client peers;
    record_cache records{[](const record&) {}};
    monotonic_clock time;
    metrics_registry metrics;
    std::mt19937_64 random;
    std::atomic<int> started = 0;
    std::unique_ptr<membership_agent> agent;

    explicit pair_end(std::uint16_t number) : random(number) {
        const std::string name = "e" + std::to_string(number);
        configured.entry = {entry_id(name), region_name("r"), zone_name("z")};
        configured.listen.peer = {"127.0.0.1", number};
        configured.timing.heartbeat = absl::Milliseconds(10);
        membership_callbacks events;
        events.own_heartbeat = [this, number] {
            heartbeat own;
            own.entry = configured.entry.id;
            own.incarnation = incarnation(number);
            own.zone = configured.entry.zone;
            own.address = to_string(configured.listen.peer);
            return own;
        };
        events.on_heartbeat = [](const heartbeat&) {};
        events.on_termination = [](const incarnation_id&) {};
        agent = std::make_unique<membership_agent>(configured, incarnation(number), peers, records, time,
                                                   metrics, random, std::move(events));
    }

    void exchange_with(membership_agent& other) {
        peers.on_heartbeat = [this, &other](const std::string&,
                                            const heartbeat& beat) -> tl::expected<heartbeat, peer_error> {
            ++started;
            return other.receive_heartbeat(beat);
        };
    }
};

}  // namespace

// Guards against an entry VM that keeps an old configuration although a peer has a newer one.
TEST_CASE_FIXTURE(fixture, "an entry VM with an older configuration requests all records of the peer") {
    own_revision = 5;
    std::atomic<std::uint64_t> requested_revision = 99;
    peers.on_records_after = [&](std::uint64_t revision) {
        requested_revision = revision;
        own_revision = 7;
        return std::vector<record>{{"config", "x", 7}};
    };
    exchange_with(7);
    REQUIRE(fakes::wait_until([&] { return records.find("config").has_value(); }));
    CHECK(requested_revision == 0);
    agent->stop();
}

// Guards against a peer that keeps an old configuration.
TEST_CASE_FIXTURE(fixture, "a peer with an older configuration receives the newer one") {
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

// Guards against two exchanges per interval for a pair, regardless of which entry VM has the lower address.
TEST_CASE_FIXTURE(fixture,
                  "an entry VM starts no exchange while its peer does, and resumes when the peer stops") {
    for (const std::uint16_t port : {1, 9}) {
        CAPTURE(port);
        exchanges = 0;
        configured.listen.peer = {"127.0.0.1", port};
        configured.timing.heartbeat = absl::Seconds(1);
        exchange_with(1);
        REQUIRE(fakes::wait_until([&] { return exchanges == 1; }));
        for (int round = 0; round < 25; ++round) {
            agent->receive_heartbeat(beat(2));
            absl::SleepFor(absl::Milliseconds(100));
        }
        CHECK(exchanges == 1);
        wait_for_exchanges(1);
        agent->stop();
    }
}

// Guards against considering a peer alive or terminated because no exchange with it is started any more,
// regardless of which entry VM has the lower address.
TEST_CASE_FIXTURE(fixture, "exchanges with a peer that does not respond continue") {
    for (const std::uint16_t port : {1, 9}) {
        CAPTURE(port);
        peer_responds = true;
        configured.listen.peer = {"127.0.0.1", port};
        exchange_with(1);
        wait_for_exchanges(2);
        peer_responds = false;
        wait_for_exchanges(5);
        CHECK(terminations == 0);
        agent->stop();
    }
}

// Guards against the entry VM with the lowest address starting all exchanges, so that its control cost
// exceeds the target.
TEST_CASE("each entry VM of a pair starts about half of the exchanges") {
    constexpr int exchanges = 300;
    pair_end first(1);
    pair_end second(2);
    first.exchange_with(*second.agent);
    second.exchange_with(*first.agent);
    first.agent->set_registered({to_string(second.configured.listen.peer)});
    second.agent->set_registered({to_string(first.configured.listen.peer)});
    REQUIRE(fakes::wait_until([&] { return first.started + second.started >= exchanges; }));
    first.agent->stop();
    second.agent->stop();
    const double share = static_cast<double>(first.started) / (first.started + second.started);
    CHECK(share > 0.35);
    CHECK(share < 0.65);
}

// Guards against an older heartbeat replacing a newer one when both entry VMs start an exchange at the same
// time.
TEST_CASE_FIXTURE(fixture,
                  "of two concurrent exchanges, the newer heartbeat is kept and the peer stays alive") {
    std::atomic<std::uint64_t> started_number = 0;
    std::atomic<std::uint64_t> number_in_response = 0;
    configured.timing.heartbeat = absl::Seconds(60);
    peers.on_heartbeat = [&](const std::string&,
                             const heartbeat& own) -> tl::expected<heartbeat, peer_error> {
        started_number = own.loads_number;
        heartbeat response = beat(2, 1);
        response.loads_number = 1;
        heartbeat newer = beat(2, 1);
        newer.loads_number = 2;
        newer.allotment_epoch = 7;
        number_in_response = agent->receive_heartbeat(newer).loads_number;
        ++exchanges;
        return response;
    };
    start();
    agent->set_registered({peer_address});
    REQUIRE(fakes::wait_until([&] { return exchanges == 1; }));
    agent->stop();
    CHECK(started_number == 1);
    CHECK(number_in_response == 2);
    CHECK(heartbeats_received == 1);
    CHECK(terminations == 0);
    CHECK(agent->alive(zone_name()).size() == 1);
    REQUIRE(agent->latest_heartbeats().size() == 1);
    CHECK(agent->latest_heartbeats().front().allotment_epoch == 7);
}

// Guards against reassigning the slots of a process that only does not respond, and against keeping them for
// one that has terminated.
TEST_CASE_FIXTURE(
    fixture, "missing responses prove nothing, a refused connection proves that an entry VM has terminated") {
    exchange_with(1);
    REQUIRE(fakes::wait_until([&] { return heartbeats_received > 0; }));
    peer_responds = false;
    wait_for_exchanges(3);
    failure = peer_error::not_connected;
    wait_for_exchanges(3);
    CHECK(terminations == 0);
    CHECK_FALSE(agent->is_terminated(entry_id("e2"), incarnation(2)));
    peer_process.reset();
    REQUIRE(fakes::wait_until([&] { return terminations == 1; }));
    CHECK(agent->is_terminated(entry_id("e2"), incarnation(2)));
    wait_for_exchanges(3);
    CHECK(terminations == 1);
    CHECK(agent->alive(zone_name()).empty());
    agent->stop();
}

// Guards against a delayed heartbeat of an earlier incarnation replacing its successor.
TEST_CASE_FIXTURE(fixture, "a newer incarnation replaces an older one, but not the reverse") {
    start();
    CHECK(agent->receive_heartbeat(beat(2)).incarnation == incarnation(1));
    agent->receive_heartbeat(beat(3));
    CHECK(terminations == 1);
    CHECK(heartbeats_received == 2);
    agent->receive_heartbeat(beat(2));
    CHECK(heartbeats_received == 2);
    CHECK(agent->latest_heartbeats().front().incarnation == incarnation(3));
    CHECK(agent->candidates(zone_name("z")).size() == 2);
    heartbeat own = beat(1);
    own.entry = entry_id("e1");
    agent->receive_heartbeat(own);
    CHECK(heartbeats_received == 2);
}

// Guards against a second process with the same entry id, whose start must not release the slots of the one
// that still runs, and against slots of the older process that stay unused after it has terminated.
TEST_CASE_FIXTURE(fixture,
                  "only a refused connection proves an older incarnation at another address terminated") {
    std::atomic<int> exchanged = 0;
    peers.on_heartbeat = [&](const std::string&, const heartbeat&) -> tl::expected<heartbeat, peer_error> {
        ++exchanged;
        return tl::unexpected(peer_error::no_response);
    };
    start();
    agent->receive_heartbeat(beat(2));
    heartbeat second = beat(3);
    second.address = "127.0.0.1:7003";
    agent->receive_heartbeat(second);
    CHECK(agent->latest_heartbeats().front().incarnation == incarnation(3));
    agent->set_registered({peer_address});
    REQUIRE(fakes::wait_until([&] { return exchanged >= 3; }));
    CHECK(terminations == 0);
    CHECK_FALSE(agent->is_terminated(entry_id("e2"), incarnation(2)));
    peer_process.reset();
    REQUIRE(fakes::wait_until([&] { return terminations == 1; }));
    CHECK(agent->is_terminated(entry_id("e2"), incarnation(2)));
    CHECK_FALSE(agent->is_terminated(entry_id("e2"), incarnation(3)));
    agent->stop();
}

}  // namespace masticpass
