#include <future>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "fakes/wait_until.h"
#include "process/test_fleet.h"

namespace masticpass::process_test {

namespace {

using fakes::wait_until;

// With one server and one entry VM in each zone, vm-a1 gets the requests that are sent to entry-a1.
constexpr fleet_options one_server_per_zone = {.vms_per_zone = 1, .entries_per_zone = 1};
constexpr fleet_options three_servers_per_zone = {.vms_per_zone = 3, .entries_per_zone = 1};

caller_answer send_once(const test_fleet& fleet, int timeout_ms, int response_bytes = 16) {
    const std::string id = fleet.take_identities("entry-a1", 1).front();
    return fleet.send("entry-a1",
                      {{"Masticpass-Timeout-Ms", std::to_string(timeout_ms)}, {"Masticpass-Request-Id", id}},
                      absl::StrCat(R"({"job":")", id, R"(","response_bytes":)", response_bytes, "}"));
}

caller_answer send_repeatable(const test_fleet& fleet, int timeout_ms, const std::string& kind,
                              const std::string& body) {
    return fleet.send("entry-a1",
                      {{"Masticpass-Timeout-Ms", std::to_string(timeout_ms)},
                       {"Masticpass-Repeatable", "yes"},
                       {"Masticpass-Kind", kind}},
                      body);
}

void require_complete(const caller_answer& answer, std::size_t response_bytes = 16) {
    INFO(answer.status, " ", answer.verdict, " ", answer.reason, " ", answer.body);
    REQUIRE(answer.status == 200);
    REQUIRE(answer.verdict == "ran");
    REQUIRE(answer.body == std::string(response_bytes, 'r'));
}

void require_may_have_run(const caller_answer& answer, const std::string& reason) {
    INFO(answer.status, " ", answer.verdict, " ", answer.reason, " ", answer.body);
    REQUIRE(answer.verdict == "may-have-run");
    REQUIRE(answer.reason == reason);
}

std::string observed_state(const test_fleet& fleet, const std::string& vm) {
    const Json::Value pool = fleet.operations("entry-a1").show_pool(pool_name("proofs")).value();
    for (const Json::Value& pool_member : pool["vms"]) {
        if (pool_member["vm"].asString() == vm) {
            return pool_member["observed"].asString();
        }
    }
    return "no such VM";
}

}  // namespace

// Guards against a request that hangs because it was sent on an open connection that no longer delivers
// responses, while new connections work.
TEST_CASE("a repeatable request is completed although the open connection is silent") {
    test_fleet fleet(one_server_per_zone);
    fleet.start_serving();
    require_complete(send_repeatable(fleet, 6000, "k", R"({"job":"repeatable-1"})"));
    fleet.control("vm-a1", "/control/silence", Json::objectValue);
    const caller_answer answer = send_repeatable(fleet, 6000, "k", R"({"job":"repeatable-2"})");
    require_complete(answer);
    REQUIRE(answer.elapsed < absl::Seconds(4));
}

// Guards against a silent connection that is detected only at the deadline of the request, and against a
// wrong verdict for that request.
TEST_CASE("a request with an identity on a silent connection ends as may-have-run well before its deadline") {
    test_fleet fleet(one_server_per_zone);
    fleet.start_serving();
    // The entry VM learns the run time of this kind, and keeps a connection that it reuses without a check.
    for (int index = 0; index < 30; ++index) {
        require_complete(send_once(fleet, 20000));
    }
    fleet.control("vm-a1", "/control/silence", Json::objectValue);
    const caller_answer answer = send_once(fleet, 20000);
    if (answer.status == 200) {
        // The connection had been idle for so long that the entry VM checked it before use.
        require_complete(answer);
    } else {
        require_may_have_run(answer, "connection-silent");
    }
    REQUIRE(answer.elapsed < absl::Seconds(10));
    require_complete(send_once(fleet, 5000));
    fleet.require_backend_invariants();
}

// Guards against a truncated or late response, or one to another attempt, that reaches a caller as the
// response to its request.
TEST_CASE("truncated, mismatched and late responses end as may-have-run and no caller gets one") {
    test_fleet fleet(one_server_per_zone);
    fleet.start_serving();
    fleet.control("vm-a1", "/control/behaviour", json_object("truncate", true));
    const caller_answer truncated = send_once(fleet, 5000);
    REQUIRE(truncated.verdict == "may-have-run");
    REQUIRE((truncated.reason == "answer-truncated" || truncated.reason == "connection-lost"));
    REQUIRE(truncated.elapsed < absl::Seconds(2));
    fleet.control("vm-a1", "/control/behaviour", json_object("truncate", false));
    fleet.control("vm-a1", "/control/behaviour", json_object("wrong_attempt_id", true));
    const caller_answer mismatched = send_once(fleet, 5000);
    require_may_have_run(mismatched, "answer-mismatched");
    REQUIRE(mismatched.elapsed < absl::Seconds(2));
    fleet.control("vm-a1", "/control/behaviour", json_object("wrong_attempt_id", false));
    fleet.control("vm-a1", "/control/behaviour", json_object("late_ms", 1500));
    const caller_answer late = send_once(fleet, 500, 100);
    require_may_have_run(late, "answer-timeout");
    REQUIRE(late.elapsed < absl::Seconds(2));
    fleet.control("vm-a1", "/control/behaviour", json_object("late_ms", 0));
    // The late response to the previous request has another size.
    require_complete(send_once(fleet, 5000, 32), 32);
    fleet.require_backend_invariants();
}

// Guards against a server that gets most requests because it fails them quickly, and against the ejection of
// healthy servers.
TEST_CASE("a server that fails every request is ejected and the others continue to serve") {
    test_fleet fleet(three_servers_per_zone);
    fleet.start_serving();
    fleet.control("vm-a1", "/control/behaviour", json_object("fail_all", true));
    const auto caller = fleet.start_caller({"--seconds", "5", "--once-share", "0.5"});
    REQUIRE(wait_until([&] { return observed_state(fleet, "vm-a1") == "ejected"; }));
    for (const std::string vm : {"vm-a2", "vm-a3", "vm-b1", "vm-b2", "vm-b3"}) {
        REQUIRE(observed_state(fleet, vm).empty());
    }
    const Json::Value caller_counters = test_fleet::wait_for_counters(*caller);
    REQUIRE(caller_counters["cut"].asInt() == 0);
    REQUIRE(caller_counters["incomplete"].asInt() == 0);
    // All refusals are failures of the server itself, and their verdict says that the request ran.
    for (const std::string& name : caller_counters["refusals"].getMemberNames()) {
        REQUIRE(name == "ran ");
    }
    REQUIRE(caller_counters["complete"].asInt() > 0.8 * caller_counters["sent"].asInt());
    for (int index = 0; index < 30; ++index) {
        require_complete(send_repeatable(fleet, 5000, "short", R"({"job":"repeatable-x"})"));
    }
    fleet.require_backend_invariants();
}

// Guards against a kind of job that always fails and thereby ejects servers that other kinds of jobs could
// use.
TEST_CASE("a kind of job that fails on all servers is refused and no server is ejected") {
    test_fleet fleet(three_servers_per_zone);
    fleet.start_serving();
    for (int index = 0; index < 30; ++index) {
        require_complete(send_repeatable(fleet, 5000, "good", R"({"job":"repeatable-good"})"));
    }
    caller_answer refused;
    REQUIRE(wait_until([&] {
        refused = send_repeatable(fleet, 5000, "bad", R"({"job":"repeatable-bad","fail":true})");
        return refused.verdict != "ran";
    }));
    REQUIRE(refused.verdict == "not-run");
    REQUIRE(refused.reason == "job-fails-everywhere");
    for (const std::string& vm : fleet.vms()) {
        REQUIRE(observed_state(fleet, vm).empty());
    }
    for (int index = 0; index < 30; ++index) {
        require_complete(send_repeatable(fleet, 5000, "good", R"({"job":"repeatable-good"})"));
    }
}

// Guards against new requests to a leaving server when only the server itself says that it is leaving,
// because the VM list lags.
TEST_CASE("a leaving server under load gets no new requests after 3 s although the VM list lags") {
    test_fleet fleet;
    fleet.start_serving();
    fleet.control("", "/control/faults", json_object("vm_list_lag_ms", 60000));
    const auto caller = fleet.start_caller(
        {"--seconds", "8", "--rate", "300", "--threads", "48", "--long-share", "0.3", "--once-share", "0.5"});
    REQUIRE(wait_until([&] { return fleet.counters("vm-a1")["completed"].asInt() > 20; }));
    fleet.control("vm-a1", "/control/behaviour", json_object("leaving", true));
    const absl::Time deadline = absl::Now() + absl::Seconds(3);
    REQUIRE(wait_until([&] { return absl::Now() >= deadline; }));
    const Json::Value counters_at_deadline = fleet.counters("vm-a1");
    const Json::Value caller_counters = test_fleet::wait_for_counters(*caller);
    const Json::Value counters_at_end = fleet.counters("vm-a1");
    REQUIRE(counters_at_end["offered_while_leaving"] == counters_at_deadline["offered_while_leaving"]);
    REQUIRE(counters_at_end["distinct_jobs"] == counters_at_deadline["distinct_jobs"]);
    INFO("retries without a server: ", fleet.metric("masticpass_retries_total{reason=\"no-server\"}"));
    REQUIRE(caller_counters["complete"].asInt() == caller_counters["sent"].asInt());
    fleet.require_backend_invariants();
}

// Guards against a request that is sent to a server whose slots are all taken by requests that have timed out
// but still run.
TEST_CASE("a slot of a request that timed out is not used again while the server runs it") {
    constexpr int server_slots = 8;
    constexpr int run_ms = 4000;
    test_fleet fleet(one_server_per_zone);
    fleet.start_serving();
    const auto send_job = [&fleet](int timeout_ms, int job_ms) {
        const std::string id = fleet.take_identities("entry-a1", 1).front();
        return fleet.send(
            "entry-a1",
            {{"Masticpass-Timeout-Ms", std::to_string(timeout_ms)}, {"Masticpass-Request-Id", id}},
            absl::StrCat(R"({"job":")", id, R"(","run_ms":)", job_ms, "}"));
    };
    std::vector<std::future<caller_answer>> responses;
    responses.reserve(server_slots);
    for (int slot = 0; slot < server_slots; ++slot) {
        responses.push_back(std::async(std::launch::async, [&] { return send_job(1000, run_ms); }));
    }
    for (auto& response : responses) {
        require_may_have_run(response.get(), "answer-timeout");
    }
    REQUIRE(fleet.counters("vm-a1")["running"].asInt() == server_slots);
    const caller_answer next = send_job(15000, 0);
    require_complete(next);
    REQUIRE(next.elapsed > absl::Seconds(2));
    const Json::Value server_counters = fleet.counters("vm-a1");
    REQUIRE(server_counters["refused"].asInt() == 0);
    REQUIRE(server_counters["most_running"].asInt() == server_slots);
    fleet.require_backend_invariants();
}

}  // namespace masticpass::process_test
