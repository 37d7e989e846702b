#include <doctest/doctest.h>

#include "fakes/wait_until.h"
#include "process/test_fleet.h"

namespace masticpass::process_test {

namespace {

const httplib::Headers repeatable = {{"Masticpass-Timeout-Ms", "5000"}, {"Masticpass-Repeatable", "yes"}};

}  // namespace

// Guards against an entry VM that cannot serve because it started while the store was down.
TEST_CASE("an entry VM that starts while the store is down takes the configuration from its peers") {
    test_fleet fleet;
    for (const std::string entry : {"entry-a1", "entry-a2", "entry-b1"}) {
        fleet.start_entry(entry);
    }
    fleet.declare();
    fleet.control("", "/control/faults", json_object("store_down", true));
    fleet.start_entry("entry-b2");
    REQUIRE(fakes::wait_until(
        [&] { return (*fleet.operations("entry-b2").status())["configuration_revision"].asInt() == 1; }));
    // Without the store the entry VM gets no slots of its own, so it forwards the requests to its peers.
    REQUIRE(fakes::wait_until(
        [&] { return fleet.send("entry-b2", repeatable, R"({"job":"x"})").status == 200; }));
    fleet.control("", "/control/faults", json_object("store_down", false));
    // All 32 slots are distributed again, now also to the new entry VM.
    REQUIRE(fakes::wait_until([&] {
        const auto status = fleet.operations("entry-b2").status();
        return status && (*status)["store_reachable"].asBool() &&
               fleet.metric("masticpass_free_slots{") == 32;
    }));
}

// Guards against requests that are accepted, or refused without a verdict, before any configuration is in
// force.
TEST_CASE("an entry VM without store and peers refuses requests with the verdict not-run") {
    test_fleet fleet;
    fleet.control("", "/control/faults", json_object("store_down", true));
    fleet.start_entry("entry-a1");
    const caller_answer refused = fleet.send("entry-a1", repeatable, R"({"job":"x"})");
    REQUIRE(refused.status == 503);
    REQUIRE(refused.verdict == "not-run");
    REQUIRE(refused.reason == "no-configuration");
    for (const std::string& vm : fleet.vms()) {
        REQUIRE(fleet.counters(vm)["distinct_jobs"].asInt() == 0);
    }
    fleet.control("", "/control/faults", json_object("store_down", false));
    fleet.declare();
    REQUIRE(fleet.send("entry-a1", repeatable, R"({"job":"x"})").status == 200);
}

}  // namespace masticpass::process_test
