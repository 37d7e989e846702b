#include <csignal>

#include <absl/strings/match.h>
#include <doctest/doctest.h>

#include "fakes/wait_until.h"
#include "process/test_fleet.h"

namespace masticpass::process_test {

namespace {

using fakes::wait_until;

int total(const test_fleet& fleet, const std::string& counter) {
    int result = 0;
    for (const std::string& vm : fleet.vms()) {
        result += fleet.counters(vm)[counter].asInt();
    }
    return result;
}

// Each request has its own job, so a job beyond the complete responses belongs to a request whose caller was
// not told "not run".
void require_right_verdicts(const test_fleet& fleet, const Json::Value& seen) {
    int may_have_run = seen["cut"].asInt();
    for (const std::string& name : seen["refusals"].getMemberNames()) {
        const bool is_not_run = absl::StartsWith(name, "not-run ");
        REQUIRE((is_not_run || absl::StartsWith(name, "may-have-run ")));
        may_have_run += is_not_run ? 0 : seen["refusals"][name].asInt();
    }
    REQUIRE(seen["complete"].asInt() > 0);
    REQUIRE(seen["incomplete"].asInt() == 0);
    REQUIRE(total(fleet, "distinct_jobs") - seen["complete"].asInt() <= may_have_run);
}

}  // namespace

// Guards against a planned stop that interrupts requests in flight.
TEST_CASE("SIGTERM of an entry VM under load cuts no request") {
    test_fleet fleet;
    fleet.start_serving();
    const auto caller = fleet.start_caller({"--seconds", "6", "--once-share", "1", "--rate", "200"});
    REQUIRE(wait_until([&] { return total(fleet, "completed") > 100; }));
    child_process& stopped = fleet.process("entry-a1");
    stopped.send_signal(SIGTERM);
    REQUIRE(stopped.wait_for_end(absl::Seconds(20)));
    REQUIRE(stopped.has_succeeded());
    const Json::Value seen = test_fleet::finish(*caller);
    REQUIRE(seen["cut"].asInt() == 0);
    require_right_verdicts(fleet, seen);
    fleet.require_clean_backends();
}

// Guards against a request that runs twice, or is declared not run, after its entry VM was killed.
TEST_CASE("after SIGKILL of an entry VM under load no request with an identity runs twice") {
    test_fleet fleet;
    fleet.start_serving();
    const auto caller = fleet.start_caller({"--seconds", "6", "--once-share", "1", "--rate", "200"});
    REQUIRE(wait_until([&] { return total(fleet, "completed") > 100; }));
    fleet.process("entry-a1").send_signal(SIGKILL);
    const Json::Value seen = test_fleet::finish(*caller);
    require_right_verdicts(fleet, seen);
    fleet.require_clean_backends();
}

}  // namespace masticpass::process_test
