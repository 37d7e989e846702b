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

int total_counter(const test_fleet& fleet, const std::string& counter) {
    int result = 0;
    for (const std::string& vm : fleet.vms()) {
        result += fleet.counters(vm)[counter].asInt();
    }
    return result;
}

// Requires that no request that ran got the verdict "not-run". Each request has its own job, so every job
// beyond the complete responses must belong to a request that got another verdict or no response.
// `other_jobs` is the number of jobs that the caller stand-in did not send.
void require_right_verdicts(const test_fleet& fleet, const Json::Value& caller_counters, int other_jobs = 0) {
    int may_have_run = caller_counters["cut"].asInt();
    for (const std::string& name : caller_counters["refusals"].getMemberNames()) {
        const bool is_not_run = absl::StartsWith(name, "not-run ");
        REQUIRE((is_not_run || absl::StartsWith(name, "may-have-run ")));
        may_have_run += is_not_run ? 0 : caller_counters["refusals"][name].asInt();
    }
    REQUIRE(caller_counters["complete"].asInt() > 0);
    REQUIRE(caller_counters["incomplete"].asInt() == 0);
    REQUIRE(total_counter(fleet, "distinct_jobs") - other_jobs - caller_counters["complete"].asInt() <=
            may_have_run);
}

// Sends a request with the identity `id`, whose job has the same name.
caller_answer send_once(const test_fleet& fleet, const std::string& entry, const std::string& id) {
    return fleet.send(entry, {{"Masticpass-Timeout-Ms", "5000"}, {"Masticpass-Request-Id", id}},
                      absl::StrCat(R"({"job":")", id, R"(","run_ms":5})"));
}

// Requires that the response to a repeated request neither denies the earlier run nor differs from its
// response.
void require_ran_before(const caller_answer& answer) {
    INFO(answer.status, " ", answer.verdict, " ", answer.reason);
    REQUIRE(
        (answer.verdict == "may-have-run" || (answer.status == 200 && answer.body == std::string(16, 'r'))));
}

}  // namespace

// Guards against a planned stop that interrupts requests in flight.
TEST_CASE("SIGTERM to an entry VM under load interrupts no request") {
    test_fleet fleet;
    fleet.start_serving();
    const auto caller = fleet.start_caller({"--seconds", "6", "--once-share", "1", "--rate", "200"});
    REQUIRE(wait_until([&] { return total_counter(fleet, "completed") > 100; }));
    child_process& stopped_entry = fleet.process("entry-a1");
    stopped_entry.send_signal(SIGTERM);
    REQUIRE(stopped_entry.wait_for_end(absl::Seconds(20)));
    REQUIRE(stopped_entry.has_succeeded());
    const Json::Value caller_counters = test_fleet::wait_for_counters(*caller);
    REQUIRE(caller_counters["cut"].asInt() == 0);
    require_right_verdicts(fleet, caller_counters);
    fleet.require_backend_invariants();
}

// Guards against identities that become unusable when the entry VM that issued them stops, and against a
// successor that runs a request again or denies that its predecessor ran it.
TEST_CASE("identities of an entry VM that is stopped under load are taken over by another one") {
    test_fleet fleet;
    fleet.start_serving();
    const std::vector<std::string> identities_sent_before_stop = fleet.take_identities("entry-a1", 30);
    const std::vector<std::string> identities_sent_during_stop = fleet.take_identities("entry-a1", 300);
    const std::vector<std::string> identities_sent_after_stop = fleet.take_identities("entry-a1", 30);
    const std::vector<std::string> other_entries = {"entry-a2", "entry-b1", "entry-b2"};
    const auto caller = fleet.start_caller({"--seconds", "8", "--once-share", "1", "--rate", "200"});
    REQUIRE(wait_until([&] { return total_counter(fleet, "completed") > 100; }));
    for (const std::string& id : identities_sent_before_stop) {
        REQUIRE(send_once(fleet, "entry-a1", id).status == 200);
    }

    child_process& stopped_entry = fleet.process("entry-a1");
    stopped_entry.send_signal(SIGTERM);
    std::map<std::string, caller_answer> responses_during_stop;
    for (std::size_t index = 0;
         !stopped_entry.wait_for_end(absl::ZeroDuration()) && index < identities_sent_during_stop.size();
         ++index) {
        const std::string& id = identities_sent_during_stop.at(index);
        responses_during_stop[id] = send_once(fleet, other_entries.at(index % other_entries.size()), id);
    }
    REQUIRE(stopped_entry.wait_for_end(absl::Seconds(20)));
    REQUIRE(stopped_entry.has_succeeded());

    for (std::size_t index = 0; index < identities_sent_after_stop.size(); ++index) {
        // An entry VM that does not know yet which peer took over the identities refuses the request without
        // running it.
        REQUIRE(wait_until([&] {
            return send_once(fleet, other_entries.at(index % other_entries.size()),
                             identities_sent_after_stop.at(index))
                       .status == 200;
        }));
    }
    for (std::size_t index = 0; index < identities_sent_before_stop.size(); ++index) {
        require_ran_before(send_once(fleet, other_entries.at(index % other_entries.size()),
                                     identities_sent_before_stop.at(index)));
    }
    // Repeats the requests that were sent during the stop, because their first responses differ.
    std::map<std::string, int> run_counts = fleet.run_counts();
    for (const auto& sent : responses_during_stop) {
        const std::string& id = sent.first;
        const caller_answer& first_response = sent.second;
        INFO(id, ": ", first_response.status, " ", first_response.verdict, " ", first_response.reason);
        REQUIRE((first_response.verdict != "not-run" || run_counts[id] == 0));
        REQUIRE((first_response.status != 200 || run_counts[id] == 1));
        const caller_answer repeated_response = send_once(fleet, "entry-b2", id);
        if (run_counts[id] == 1) {
            require_ran_before(repeated_response);
        }
    }
    const Json::Value caller_counters = test_fleet::wait_for_counters(*caller);
    REQUIRE(caller_counters["cut"].asInt() == 0);
    run_counts = fleet.run_counts();
    for (const std::vector<std::string>& identities :
         {identities_sent_before_stop, identities_sent_after_stop}) {
        REQUIRE(std::all_of(identities.begin(), identities.end(),
                            [&](const std::string& id) { return run_counts[id] == 1; }));
    }
    const auto ran_during_stop =
        std::count_if(identities_sent_during_stop.begin(), identities_sent_during_stop.end(),
                      [&](const std::string& id) { return run_counts.contains(id); });
    require_right_verdicts(
        fleet, caller_counters,
        static_cast<int>(identities_sent_before_stop.size() + identities_sent_after_stop.size()) +
            static_cast<int>(ran_during_stop));
    fleet.require_backend_invariants();
}

// Guards against a request that runs twice, or that ran and gets the verdict "not-run", after its entry VM
// was killed.
TEST_CASE("after SIGKILL of an entry VM under load no request with an identity runs twice") {
    test_fleet fleet;
    fleet.start_serving();
    const auto caller = fleet.start_caller({"--seconds", "6", "--once-share", "1", "--rate", "200"});
    REQUIRE(wait_until([&] { return total_counter(fleet, "completed") > 100; }));
    fleet.process("entry-a1").send_signal(SIGKILL);
    const Json::Value caller_counters = test_fleet::wait_for_counters(*caller);
    require_right_verdicts(fleet, caller_counters);
    fleet.require_backend_invariants();
}

}  // namespace masticpass::process_test
