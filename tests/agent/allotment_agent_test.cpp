#include "agent/allotment_agent.h"

#include <memory>

#include <doctest/doctest.h>

#include "agent/allotment_json.h"
#include "agent/record_keys.h"
#include "fakes/fake_configuration_store.h"
#include "fakes/wait_until.h"

namespace masticpass {

namespace {

struct fixture {
    const incarnation_id self{"i1"};
    const incarnation_id other{"i2"};
    const std::string key = allotment_key(zone_name("z"));
    settings configured;
    fakes::fake_configuration_store store;
    metrics_registry metrics;
    fleet_state fleet{zone_name("z"), metrics};
    record_cache records{[this](const record& changed) { fleet.apply(changed); }};
    std::atomic<bool> is_other_terminated = false;
    std::unique_ptr<allotment_agent> agent;

    fixture() {
        configured.entry = {entry_id("e1"), region_name("r"), zone_name("z")};
        configured.listen.peer = {"127.0.0.1", 7001};
        store.put(key, serialize(with_other(3)));
    }

    allotment_record with_other(std::uint64_t epoch) const {
        return {.epoch = epoch, .members = {{entry_id("e2"), other, 1, "127.0.0.1:7002"}}};
    }

    void start() {
        agent = std::make_unique<allotment_agent>(
            configured, self, store, records, fleet, metrics, [this](const allotment_member& member) {
                return member.incarnation == other && is_other_terminated;
            });
    }

    allotment_record stored() const { return parse_allotment_record(store.value(key)).value(); }
    bool has_joined() const {
        return fakes::wait_until([&] { return fleet.own_allotment().contains(self); });
    }
};

}  // namespace

// Guards against removing a member that is not proved terminated, and against keeping one that is.
TEST_CASE_FIXTURE(fixture, "the agent joins, removes only a member that is proved terminated, and leaves") {
    start();
    REQUIRE(has_joined());
    CHECK(stored().epoch == 4);
    CHECK(stored().contains(other));
    CHECK(stored().members.back().address == "127.0.0.1:7001");
    CHECK(stored().members.back().joined_epoch == 4);
    is_other_terminated = true;
    REQUIRE(fakes::wait_until([&] { return !stored().contains(other); }));
    CHECK(stored().epoch == 5);
    CHECK(agent->leave(absl::Seconds(5)));
    CHECK_FALSE(stored().contains(self));
    CHECK(stored().epoch == 6);
}

// Guards against joining twice or not at all when the response or the request of the write is lost.
TEST_CASE_FIXTURE(fixture, "after a lost response or request, the allotment contains the incarnation once") {
    SUBCASE("response") {
        store.lose_responses(1);
    }
    SUBCASE("request") {
        store.lose_requests(1);
    }
    start();
    // The agent learns of a write whose response was lost only through the watch of the store.
    REQUIRE(fakes::wait_until([&] { return stored().contains(self); }));
    records.offer({key, store.value(key), static_cast<std::uint64_t>(store.read(key)->revision)});
    REQUIRE(has_joined());
    CHECK(stored().epoch == 4);
    CHECK(stored().members.size() == 2);
}

// Guards against a write based on stale data, which would restore an old allotment.
TEST_CASE_FIXTURE(fixture, "nothing is written while the store returns stale data") {
    store.set_old_data(true);
    records.offer({key, serialize(with_other(9)), 1000});
    start();
    const metric_name old_data{"masticpass_platform_errors_total", "call", "allotment-old-data"};
    REQUIRE(fakes::wait_until([&] { return metrics.counter(old_data) > 0; }));
    CHECK(store.calls("compare_and_swap") == 0);
    CHECK_FALSE(agent->leave(absl::Milliseconds(1)));
}

}  // namespace masticpass
