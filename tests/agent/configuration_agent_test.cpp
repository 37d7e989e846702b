#include "agent/configuration_agent.h"

#include <doctest/doctest.h>

#include "decision/configuration/sample.h"
#include "fakes/fake_configuration_store.h"
#include "fakes/fake_retry_counter.h"

namespace masticpass {

namespace {

struct fixture {
    fakes::fake_configuration_store store;
    fakes::fake_retry_counter retries;
    monotonic_clock time;
    metrics_registry metrics;
    fleet_state fleet{zone_name("a"), metrics};
    record_cache records{[this](const record& changed) { fleet.apply(changed); }};
    configuration_agent agent{incarnation_id("i1"), store, retries, time, records, fleet};
    std::stop_source stop;

    fixture() { store.put("config", serialize(small_record())); }

    operations_result<change_result> propose(const configuration_change& change) {
        return agent.propose(change, stop.get_token());
    }
    configuration_record stored() const { return parse_configuration_record(store.value("config")).value(); }
    int quota(const char* team) const { return stored().configuration.teams.at(team_name(team)).quota_vms; }
};

}  // namespace

// Guards against losing the change of one of two operators, and against a conflict that does not name the
// author.
TEST_CASE_FIXTURE(fixture,
                  "changing a section that was changed after the base revision reports the conflict") {
    REQUIRE(propose(quota_change("c1", 1, "dye", 18)).has_value());
    CHECK(fleet.configuration_revision() == 2);
    const auto refused = propose(quota_change("c2", 1, "dye", 17));
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == operations_error_code::conflict);
    REQUIRE(refused.error().conflicts.size() == 1);
    CHECK(refused.error().conflicts.front().author == "ines");
    CHECK(refused.error().conflicts.front().revision == 2);
    CHECK(propose(quota_change("c3", 1, "loom", 16)).has_value());
    CHECK(quota("dye") == 18);
    CHECK(quota("loom") == 16);
}

// Guards against applying a change twice when its operator sends it again.
TEST_CASE_FIXTURE(fixture, "a change id that is sent again returns its first result") {
    const auto first = propose(quota_change("c1", 1, "dye", 18));
    REQUIRE(propose(quota_change("c2", 2, "dye", 17)).has_value());
    const auto again = propose(quota_change("c1", 1, "dye", 18));
    REQUIRE(again.has_value());
    CHECK(again->is_repeated);
    CHECK(again->revision == first->revision);
    CHECK(quota("dye") == 17);
    CHECK(stored().revision == 3);
}

// Guards against reporting a change in force as failed, and against applying it twice.
TEST_CASE_FIXTURE(fixture, "a change whose response or request was lost is applied once") {
    SUBCASE("response") {
        store.lose_responses(1);
    }
    SUBCASE("request") {
        store.lose_requests(1);
    }
    const auto result = propose(quota_change("c1", 1, "dye", 18));
    REQUIRE(result.has_value());
    CHECK(result->revision == 2);
    CHECK(stored().revision == 2);
    CHECK(fleet.configuration_revision() == 2);
}

// Guards against reverting the configuration because the store returned an old one.
TEST_CASE_FIXTURE(fixture,
                  "a change is refused while the store returns a configuration older than the one in force") {
    REQUIRE(propose(quota_change("c1", 1, "dye", 18)).has_value());
    store.put("config", serialize(small_record()));
    const auto refused = propose(quota_change("c2", 1, "loom", 17));
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == operations_error_code::unavailable);
    CHECK(stored().revision == 1);
    CHECK(fleet.configuration_revision() == 2);
}

// Guards against putting an invalid change in force, and against a call that does not return when the process
// stops.
TEST_CASE_FIXTURE(fixture, "an invalid change and a change while stopping have no effect") {
    configuration_change unknown_pool = make_change("c1", 1);
    unknown_pool.set.services[service_name("new")] = {.pool = pool_name("none")};
    CHECK(propose(unknown_pool).error().code == operations_error_code::invalid);
    store.set_down(true);
    stop.request_stop();
    CHECK(propose(quota_change("c2", 1, "dye", 18)).error().code == operations_error_code::unavailable);
    CHECK(stored().revision == 1);
}

}  // namespace masticpass
