#include "agent/fleet_state.h"

#include <doctest/doctest.h>

#include "agent/allotment_json.h"
#include "agent/record_cache.h"
#include "decision/configuration/sample.h"
#include "decision/maintenance/record_builder.h"

namespace masticpass {

namespace {

struct fixture {
    metrics_registry metrics;
    fleet_state fleet{zone_name("z"), metrics};

    std::uint64_t unreadable() const {
        return metrics.counter({"masticpass_unreadable_records_total", "", ""});
    }
    std::size_t pool_vms() const {
        const auto snapshot = fleet.pools();
        const fleet_state::pool_map& pools = *snapshot;
        const auto found = pools.find(pool_name("p"));
        return found == pools.end() ? 0 : found->second.record.vms.size();
    }
};

std::string pool_value(int vms) {
    return serialize(make_pool("p", vms));
}

std::string configuration_value(std::int64_t revision) {
    configuration_record record = small_record();
    while (record.revision < revision) {
        const auto next = quota_change("c" + std::to_string(record.revision), record.revision, "dye", 19);
        record = apply_change(record, next, {}, incarnation_id("one")).value().record;
    }
    return serialize(record);
}

}  // namespace

// Guards against replacing a record by an older version: versions arrive from the store and from peers in any
// order.
TEST_CASE("the cache keeps the highest revision of each record and remembers removals") {
    std::vector<std::uint64_t> changes;
    record_cache cache([&](const record& changed) { changes.push_back(changed.revision); });
    CHECK(cache.offer({"a/1", "x", 5}));
    CHECK_FALSE(cache.offer({"a/1", "old", 4}));
    CHECK_FALSE(cache.offer({"a/1", "same", 5}));
    CHECK(cache.offer({"a/2", "y", 3}));
    CHECK(cache.offer({"a/1", "", 6}));
    CHECK_FALSE(cache.offer({"a/1", "x", 5}));
    CHECK_FALSE(cache.find("a/1").has_value());
    CHECK(cache.with_prefix("a/").size() == 1);
    CHECK(cache.after(3).size() == 1);
    CHECK(cache.revision() == 6);
    CHECK(changes == std::vector<std::uint64_t>{5, 3, 6});
}

// Guards against replacing the configuration in force by an older one or by a record that cannot be parsed.
TEST_CASE_FIXTURE(fixture,
                  "the configuration revision never decreases, and an unreadable record is ignored") {
    fleet.apply({"config", configuration_value(3), 30});
    CHECK(fleet.configuration_revision() == 3);
    fleet.apply({"config", configuration_value(2), 31});
    CHECK(fleet.configuration_revision() == 3);
    CHECK(fleet.refused_older_revisions() == 1);
    for (const char* value : {"{", "{}", ""}) {
        fleet.apply({"config", value, 32});
        REQUIRE(fleet.configuration());
        CHECK(fleet.configuration()->revision == 3);
    }
    CHECK(unreadable() == 2);
}

// Guards against maintenance decisions based on an older pool record: two threads that receive versions of
// one record may apply them in either order.
TEST_CASE_FIXTURE(fixture,
                  "a pool record is never replaced by an older version, not even after its removal") {
    fleet.apply({"pools/p", pool_value(3), 6});
    fleet.apply({"pools/p", pool_value(2), 5});
    CHECK(pool_vms() == 3);
    fleet.apply({"pools/p", "", 4});
    CHECK(pool_vms() == 3);
    fleet.apply({"pools/p", "{", 7});
    CHECK(pool_vms() == 3);
    CHECK(unreadable() == 1);
    fleet.apply({"pools/p", "", 9});
    CHECK(pool_vms() == 0);
    fleet.apply({"pools/p", pool_value(2), 8});
    CHECK(pool_vms() == 0);
    fleet.apply({"pools/p", pool_value(4), 10});
    CHECK(pool_vms() == 4);
}

// Guards against using slots according to an old allotment.
TEST_CASE_FIXTURE(fixture, "the epoch of an allotment never decreases") {
    const auto value = [](std::uint64_t epoch) {
        return serialize(
            allotment_record{.epoch = epoch, .members = {{entry_id("e1"), incarnation_id("i1"), epoch}}});
    };
    CHECK(fleet.own_allotment().epoch == 0);
    fleet.apply({"zones/z/allotment", value(4), 9});
    fleet.apply({"zones/z/allotment", value(3), 10});
    fleet.apply({"zones/z/allotment", "[]", 11});
    fleet.apply({"zones/y/allotment", value(1), 12});
    CHECK(fleet.own_allotment().epoch == 4);
    CHECK(fleet.allotments().size() == 2);
    CHECK(unreadable() == 1);
}

}  // namespace masticpass
