#include <algorithm>
#include <csignal>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
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
// not told "not run". `other_jobs` were not sent by the caller stand-in.
void require_right_verdicts(const test_fleet& fleet, const Json::Value& seen, int other_jobs = 0) {
    int may_have_run = seen["cut"].asInt();
    for (const std::string& name : seen["refusals"].getMemberNames()) {
        const bool is_not_run = absl::StartsWith(name, "not-run ");
        REQUIRE((is_not_run || absl::StartsWith(name, "may-have-run ")));
        may_have_run += is_not_run ? 0 : seen["refusals"][name].asInt();
    }
    REQUIRE(seen["complete"].asInt() > 0);
    REQUIRE(seen["incomplete"].asInt() == 0);
    REQUIRE(total(fleet, "distinct_jobs") - other_jobs - seen["complete"].asInt() <= may_have_run);
}

// Sends the request with the identity `id`, whose job has the same name.
caller_answer send_once(const test_fleet& fleet, const std::string& entry, const std::string& id) {
    return fleet.send(entry, {{"Masticpass-Timeout-Ms", "5000"}, {"Masticpass-Request-Id", id}},
                      absl::StrCat(R"({"job":")", id, R"(","run_ms":5})"));
}

// Requires that the answer neither denies a run nor differs from the response of the only run.
void require_ran_before(const caller_answer& answer) {
    INFO(answer.status, " ", answer.verdict, " ", answer.reason);
    REQUIRE(
        (answer.verdict == "may-have-run" || (answer.status == 200 && answer.body == std::string(16, 'r'))));
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

// Guards against identities that are lost with the entry VM that issued them, and against a successor that
// runs again what its predecessor ran or denies that it ran.
TEST_CASE("identities of an entry VM that is stopped under load go on at another one") {
    test_fleet fleet;
    fleet.start_serving();
    const std::vector<std::string> ran = fleet.take_identities("entry-a1", 30);
    const std::vector<std::string> sent_at_stop = fleet.take_identities("entry-a1", 300);
    const std::vector<std::string> unused = fleet.take_identities("entry-a1", 30);
    const std::vector<std::string> others = {"entry-a2", "entry-b1", "entry-b2"};
    const auto caller = fleet.start_caller({"--seconds", "8", "--once-share", "1", "--rate", "200"});
    REQUIRE(wait_until([&] { return total(fleet, "completed") > 100; }));
    for (const std::string& id : ran) {
        REQUIRE(send_once(fleet, "entry-a1", id).status == 200);
    }

    child_process& stopped = fleet.process("entry-a1");
    stopped.send_signal(SIGTERM);
    std::map<std::string, caller_answer> at_stop;
    for (std::size_t index = 0; !stopped.wait_for_end(absl::ZeroDuration()) && index < sent_at_stop.size();
         ++index) {
        const std::string& id = sent_at_stop.at(index);
        at_stop[id] = send_once(fleet, others.at(index % others.size()), id);
    }
    REQUIRE(stopped.wait_for_end(absl::Seconds(20)));
    REQUIRE(stopped.has_succeeded());

    for (std::size_t index = 0; index < unused.size(); ++index) {
        // An entry VM that has not heard yet who took the identities over refuses without running anything.
        REQUIRE(wait_until([&] {
            return send_once(fleet, others.at(index % others.size()), unused.at(index)).status == 200;
        }));
    }
    for (std::size_t index = 0; index < ran.size(); ++index) {
        require_ran_before(send_once(fleet, others.at(index % others.size()), ran.at(index)));
    }
    // Once more, since the answers at the time of the stop differ.
    std::map<std::string, int> runs = fleet.runs();
    for (const auto& sent : at_stop) {
        const std::string& id = sent.first;
        const caller_answer& first = sent.second;
        INFO(id, ": ", first.status, " ", first.verdict, " ", first.reason);
        REQUIRE((first.verdict != "not-run" || runs[id] == 0));
        REQUIRE((first.status != 200 || runs[id] == 1));
        const caller_answer again = send_once(fleet, "entry-b2", id);
        if (runs[id] == 1) {
            require_ran_before(again);
        }
    }
    const Json::Value seen = test_fleet::finish(*caller);
    REQUIRE(seen["cut"].asInt() == 0);
    runs = fleet.runs();
    for (const std::vector<std::string>& used : {ran, unused}) {
        REQUIRE(std::all_of(used.begin(), used.end(), [&](const std::string& id) { return runs[id] == 1; }));
    }
    const auto ran_at_stop = std::count_if(sent_at_stop.begin(), sent_at_stop.end(),
                                           [&](const std::string& id) { return runs.contains(id); });
    require_right_verdicts(fleet, seen,
                           static_cast<int>(ran.size() + unused.size()) + static_cast<int>(ran_at_stop));
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
