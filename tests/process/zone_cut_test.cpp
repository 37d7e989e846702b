#include <csignal>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "fakes/wait_until.h"
#include "process/test_fleet.h"

namespace masticpass::process_test {

namespace {

using fakes::wait_until;

const std::vector<std::string> zone_a = {"entry-a1", "entry-a2"};
const std::vector<std::string> zone_a_and_platform = {"entry-a1", "entry-a2", "platform"};
const std::vector<std::string> zone_b = {"entry-b1", "entry-b2"};

void signal_all(test_fleet& fleet, const std::vector<std::string>& processes, int signal) {
    for (const std::string& name : processes) {
        fleet.process(name).send_signal(signal);
    }
}

bool wait_for_revision(const test_fleet& fleet, const std::vector<std::string>& entries, int revision) {
    return wait_until([&] {
        for (const std::string& entry : entries) {
            const auto status = fleet.operations(entry).status();
            if (!status || (*status)["configuration_revision"].asInt() != revision) {
                return false;
            }
        }
        return true;
    });
}

void require_serving(const test_fleet& fleet, const std::vector<std::string>& entries) {
    for (const std::string& entry : entries) {
        for (int index = 0; index < 20; ++index) {
            const caller_answer answer =
                fleet.send(entry, {{"Masticpass-Timeout-Ms", "5000"}, {"Masticpass-Repeatable", "yes"}},
                           R"({"job":"repeatable-x","run_ms":5})");
            INFO(entry, ": ", answer.status, " ", answer.verdict, " ", answer.reason);
            REQUIRE(answer.status == 200);
        }
    }
}

}  // namespace

// Guards against a zone that stops serving while it is partitioned from the rest, and against a configuration
// that reverts when the partition ends. The test cannot drop packets between other processes, so it pauses
// the processes on the other side of the partition while it checks one side: their sockets accept data but
// nothing is sent back.
TEST_CASE("a partitioned zone serves its callers and adopts the highest revision afterwards") {
    test_fleet fleet;
    fleet.start_serving();

    signal_all(fleet, zone_a_and_platform, SIGSTOP);
    REQUIRE(
        wait_until([&] { return !(*fleet.operations("entry-b1").status())["store_reachable"].asBool(); }));
    require_serving(fleet, zone_b);
    configuration_change change{
        .id = change_id("cut"), .author = "ann", .base_revision = 1, .set = {}, .removed = {}};
    change.set.teams[team_name("studio")].quota_vms = 50;
    const auto refused = fleet.operations("entry-b1").propose_change(change);
    REQUIRE(!refused);
    REQUIRE(refused.error().code == operations_error_code::unavailable);

    signal_all(fleet, zone_b, SIGSTOP);
    signal_all(fleet, zone_a_and_platform, SIGCONT);
    change.id = change_id("connected");
    change.set.teams[team_name("studio")].quota_vms = 60;
    const auto accepted = fleet.operations("entry-a1").propose_change(change);
    REQUIRE(accepted.has_value());
    REQUIRE((*accepted)["revision"].asInt() == 2);
    REQUIRE(wait_for_revision(fleet, zone_a, 2));
    require_serving(fleet, zone_a);

    signal_all(fleet, zone_a_and_platform, SIGSTOP);
    signal_all(fleet, zone_b, SIGCONT);
    require_serving(fleet, zone_b);

    signal_all(fleet, zone_a_and_platform, SIGCONT);
    REQUIRE(wait_for_revision(fleet, fleet.entries(), 2));
    const Json::Value shown = fleet.operations("entry-b2").show_configuration().value();
    REQUIRE(shown["sections"]["team/studio"]["quota_vms"].asInt() == 60);
    require_serving(fleet, fleet.entries());
    REQUIRE(wait_until([&] { return fleet.metric("masticpass_free_slots{") == 32; }));
    fleet.require_backend_invariants();
}

}  // namespace masticpass::process_test
