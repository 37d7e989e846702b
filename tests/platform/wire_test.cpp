#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "platform/configuration.h"
#include "platform/http_worker_channel.h"
#include "platform/ingress.h"
#include "platform/job_body.h"
#include "platform/kv_wave_store.h"
#include "platform/kv_worker_directory.h"
#include "platform/node_settings.h"
#include "platform/vm_service_client.h"

namespace masticpass::platform {

namespace {

constexpr const char* worker_entry_text =
    R"({"service":"p","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready","cold_ms":0,)"
    R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":12})";

std::string settings_text(const std::string& without) {
    std::string text;
    for (const char* const line :
         {"node=n1", "zone=z", "listen.front=10.1.0.9:8624", "listen.ready=10.1.0.9:8622",
          "port_range=7060,7075", "platform.address=10.2.0.1:1", "cloud.address=10.2.0.2:1",
          "advice=", "unknown.key=1", "bounds.grace_s=6", "bounds.status_s=120", "bounds.lease_ms=3000",
          "bounds.hold_max_ms=10000", "limits.cpu_share=0.25", "limits.cores=2", "cloud.duty_per_s=64.0"}) {
        if (without.empty() || std::string(line).rfind(without, 0) != 0) {
            text += std::string(line) + "\n";
        }
    }
    return text;
}

}  // namespace

TEST_CASE("the members of a job are parsed into the matching fields") {
    const auto job = parse_job_body(
        R"({"spec":"t","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3","requires":"a"},)"
        R"({"count":2,"after":[0],"anti_affinity":1,"long_running":true,"may_miss":1,"fills":true,"target_ms":80}]})");
    REQUIRE(job.has_value());
    CHECK(job->payload == "t");
    CHECK(job->steps[0].per_task == resource_amount{.cpu_millis = 500, .memory_mb = 256});
    CHECK(job->steps[0].preferred_rack == "r1-3");
    CHECK(job->steps[0].required_label == "a");
    CHECK(job->steps[1].maximum_per_worker == 1);
    CHECK(job->steps[1].is_long_running);
    CHECK(job->steps[1].uses_idle_cpu);
    CHECK(job->steps[1].maximum_unavailable == 1);
    CHECK_FALSE(job->steps[0].maximum_unavailable.has_value());
}

// Guards against partially accepted jobs, and against input that crashes the process.
TEST_CASE("an invalid job body is refused with an error message") {
    for (const char* const body :
         {"", "x", "[]", "{}", R"({"steps":{}})", R"({"steps":[1]})", R"({"steps":[{"count":"4"}]})",
          R"({"steps":[{"count":0}]})", R"({"steps":[{"count":99999999999}]})",
          R"({"steps":[{"count":1,"after":[0]}]})", R"({"steps":[{"count":1,"after":"0"}]})",
          R"({"steps":[{"count":1,"gang":1}]})", R"({"spec":5,"steps":[{"count":1}]})",
          R"({"steps":[{"count":1}],"times":-1})"}) {
        INFO(body);
        const auto job = parse_job_body(body);
        REQUIRE_FALSE(job.has_value());
        CHECK_FALSE(job.error().empty());
    }
    CHECK(is_job_id("5c0e7a21d94b36f8"));
    for (const char* const id :
         {"", "5c0e7a21d94b36f", "5c0e7a21d94b36f88", "5c0e7a21d94b36fg", "../7a21d94b36f8ab"}) {
        CHECK_FALSE(is_job_id(id));
    }
}

// Guards against entries of other writers that are mistaken for workers.
TEST_CASE("an entry with a missing or invalid member is not a worker") {
    const auto entry = parse_worker_entry("i-1", worker_entry_text);
    REQUIRE(entry.has_value());
    CHECK(entry->capacity == resource_amount{.cpu_millis = 16000, .memory_mb = 32768, .accelerators = 1});
    CHECK(entry->started_ms == 12);
    CHECK(entry->has_label("r1-3"));
    const auto changed = [](const std::string& from, const std::string& to) {
        std::string text = worker_entry_text;
        text.replace(text.find(from), from.size(), to);
        return parse_worker_entry("i-1", text);
    };
    CHECK(changed("\"ready\"", "\"draining\"")->is_draining);
    CHECK_FALSE(changed("\"ready\"", "\"lost\"").has_value());
    CHECK_FALSE(changed("\"ready\"", "7").has_value());
    CHECK_FALSE(changed("\"address\":\"10.128.0.9:8080\",", "").has_value());
    CHECK_FALSE(changed("10.128.0.9:8080", "nowhere").has_value());
    CHECK_FALSE(changed("16000", "\"16000\"").has_value());
    CHECK_FALSE(changed("[\"a\",\"r1-3\"]", "\"a\"").has_value());
    CHECK_FALSE(parse_worker_entry("i-1", "\x01\xff").has_value());
}

TEST_CASE("the running and finished runs of a worker are parsed") {
    const auto response = parse_poll_response(
        R"({"clock_ms":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0000",41,12],["bad",1]],)"
        R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",1,"odd",""]]})");
    REQUIRE(response.has_value());
    REQUIRE(response->report.running.size() == 1);
    CHECK(response->report.running[0].progress_percent == 41);
    CHECK(response->report.running[0].load == 12);
    REQUIRE(response->report.ended.size() == 1);
    CHECK(response->report.ended[0].outcome == run_outcome::done);
    CHECK(response->report.started_ms == 5);
    // The unreadable row may be that of a run, which must not count as ended.
    CHECK(response->report.coverage == report_coverage::unreadable_runs);
    CHECK_FALSE(parse_poll_response("{}").has_value());
    CHECK_FALSE(parse_poll_response("nothing").has_value());
}

// Guards against a number from which the next run numbers of a job, for all owners, would overflow.
TEST_CASE("a run with a number out of range is unreadable") {
    for (const std::string run : {"9223372036854775807", "9007199254740993", "-1", "1e300"}) {
        INFO("run ", run);
        const auto response = parse_poll_response(
            absl::StrCat(R"({"clock_ms":5,"running":[["5c0e7a21d94b36f8.0.0.0",)", run,
                         R"(,"",0]],"finished":[[1,"5c0e7a21d94b36f8.0.0.1",)", run, R"(,"done",""]]})"));
        REQUIRE(response.has_value());
        CHECK(response->report.running.empty());
        CHECK(response->report.ended.empty());
        CHECK(response->report.coverage == report_coverage::unreadable_runs);
    }
}

// Guards against run ends that a new owner takes for absent: a worker lists at most 500 in one response.
TEST_CASE("a response with the most run ends that a worker lists leaves others unlisted") {
    const auto coverage = [](int end_count) {
        std::string rows;
        for (int number = 1; number <= end_count; ++number) {
            rows += (number == 1 ? "[" : ",[") + std::to_string(number) + R"(,"5c0e7a21d94b36f8.0.0.)" +
                    std::to_string(number) + R"(",1,"done",""])";
        }
        const auto response =
            parse_poll_response(R"({"clock_ms":5,"running":[["bad",1]],"finished":[)" + rows + "]}");
        REQUIRE(response.has_value());
        REQUIRE(response->report.ended.size() == static_cast<std::size_t>(end_count));
        return response->report.coverage;
    };
    CHECK(coverage(499) == report_coverage::unreadable_runs);
    CHECK(coverage(500) == report_coverage::unlisted_ends);
}

// Guards against values from outside that end the process or overflow, such as a token that is no string.
TEST_CASE("values of unexpected types and sizes are refused or limited") {
    CHECK_FALSE(parse_vm_page(R"({"machines":[],"next_token":{}})").has_value());
    CHECK_FALSE(parse_vm_page(R"({"machines":[],"next_token":[1]})").has_value());
    const auto page = parse_vm_page(
        R"({"machines":[{"machine":"m","pool":"p","state":"up","id":"i","capacity":{"cpu":1e300,"mem_mb":-1}}]})");
    REQUIRE(page.has_value());
    REQUIRE(page->vms.size() == 1);
    CHECK(page->vms[0].capacity == resource_amount{});
    const auto report = parse_poll_response(
        R"({"clock_ms":5,"finished":[],"running":[["5c0e7a21d94b36f8.0.0.0",1,"",1e300,1e300],)"
        R"(["5c0e7a21d94b36f8.0.0.1",1,"",-1e300,-5],["5c0e7a21d94b36f8.0.0.2",1,"","x",null]]})");
    REQUIRE(report.has_value());
    REQUIRE(report->report.running.size() == 3);
    CHECK(report->report.running[0].progress_percent == 100);
    CHECK(report->report.running[0].load == 1'000'000'000);
    CHECK(report->report.running[1].progress_percent == 0);
    CHECK(report->report.running[1].load == 0);
    CHECK(report->report.running[2].progress_percent == 0);
    CHECK(report->report.coverage == report_coverage::complete);
    const auto job = parse_job_body(R"({"steps":[{"count":1,"cpu":9000000000000000000}]})");
    CHECK_FALSE(job.has_value());
}

// Guards against requests that occupy their threads for as long as a header says.
TEST_CASE("the timeout of a caller is limited") {
    CHECK(parse_caller_timeout("250") == absl::Milliseconds(250));
    for (const char* const header : {"", "x", "-1", "0", "99999999999999999999"}) {
        CHECK(parse_caller_timeout(header) == absl::Seconds(3));
    }
    CHECK(parse_caller_timeout("9223372036854775807") == absl::Seconds(30));
}

// Guards against a response of a restarted worker that is taken for one of its earlier incarnation.
TEST_CASE("each response to an order names the incarnation that sent it") {
    const start_response accepted = parse_start_response(200, R"({"clock_ms":5,"born":12})");
    CHECK(accepted.outcome == start_outcome::accepted);
    CHECK(accepted.started_ms == 12);
    const start_response full = parse_start_response(409, R"({"clock_ms":5,"born":13,"reason":"room"})");
    CHECK(full.outcome == start_outcome::insufficient_capacity);
    CHECK(full.started_ms == 13);
    CHECK(parse_start_response(409, R"({"reason":"fence"})").is_superseded);
    CHECK(parse_start_response(503, "").outcome == start_outcome::unhealthy);
    CHECK(parse_start_response(421, "[[").outcome == start_outcome::refused);
    CHECK(parse_start_response(200, "").started_ms == 0);
    const order_response stopped = parse_order_response(200, R"({"born":14})");
    CHECK(stopped.result.has_value());
    CHECK(stopped.started_ms == 14);
    const order_response refused = parse_order_response(409, R"({"born":15,"reason":"fence"})");
    CHECK(refused.result == tl::unexpected(worker_error::superseded));
    CHECK(refused.started_ms == 15);
    CHECK(parse_order_response(421, "").result == tl::unexpected(worker_error::other_worker));
}

TEST_CASE("the longest matching path prefix of a host selects the route") {
    const auto configuration = parse_fleet_configuration(
        R"({"version":7,"routes":[{"name":"r-1","host":"h","prefix":"/a/","service":"p","max_attempts":4,"stretch":1.6,)"
        R"("target_latency_ms":600},{"name":"r-2","host":"h","prefix":"/a/b/","service":"s"}],)"
        R"("services":[{"name":"p","admission_check":true},{"name":"s","standby":true}]})");
    REQUIRE(configuration.has_value());
    CHECK(configuration->find_route("h", "/a/x")->queue == queue_name("r-1"));
    CHECK(configuration->find_route("h", "/a/b/x")->queue == queue_name("r-2"));
    CHECK(configuration->find_route("other", "/a/x") == nullptr);
    CHECK(configuration->rules.queues[0].max_attempts == 4);
    CHECK(configuration->rules.pools[1].is_standby);
    CHECK_FALSE(parse_fleet_configuration("{}").has_value());
    CHECK_FALSE(parse_fleet_configuration(R"({"version":1,"routes":[{"name":5}]})").has_value());
}

// Guards against a state or a worker that cannot be read and that is taken for a VM without a worker.
TEST_CASE("a row of the VM list with an unknown state or worker is unusable") {
    const auto page = parse_vm_page(
        R"({"machines":[{"machine":"a","pool":"p","state":"resting","id":"i"},)"
        R"({"machine":"b","pool":"p","state":"up","id":7},{"machine":"c","pool":"p","state":"down"}]})");
    REQUIRE(page.has_value());
    CHECK(page->unusable_rows == 2);
    REQUIRE(page->vms.size() == 1);
    CHECK(page->vms[0].phase == fleet_vm_phase::down);
}

TEST_CASE("VM lists and wave requests are parsed") {
    const auto page = parse_vm_page(
        R"({"machines":[{"machine":"m-1","pool":"p","state":"upkeep","zone":"z","labels":["a"],)"
        R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"id":"i-1"},{"machine":4}],"next_token":null})");
    REQUIRE(page.has_value());
    REQUIRE(page->vms.size() == 1);
    CHECK(page->vms[0].phase == fleet_vm_phase::in_maintenance);
    CHECK(page->vms[0].worker == worker_id("i-1"));
    CHECK_FALSE(page->next_token.has_value());
    CHECK(page->unusable_rows == 1);
    const auto wave =
        parse_wave_request(R"({"wave":3,"machines":["m-1","m-2"],"within_s":20,"max_count":2})");
    REQUIRE(wave.has_value());
    CHECK(wave->name == wave_name("3"));
    CHECK(wave->maximum_down == 2);
    CHECK_FALSE(parse_wave_request(R"({"machines":["m-1"]})").has_value());
}

TEST_CASE("settings are parsed, and each error names its key") {
    const auto settings = parse_node_settings(settings_text(""));
    REQUIRE(settings.has_value());
    CHECK(settings->caller_address.port == 8624);
    CHECK(settings->retention == absl::Seconds(120));
    CHECK(settings->cpu_cores == 0.5);
    CHECK(settings->vm_orders_per_second == 64.0);
    for (const char* const key : {"node", "zone", "listen.front", "platform.address", "bounds.grace_s",
                                  "limits.cores", "cloud.duty_per_s"}) {
        const auto incomplete = parse_node_settings(settings_text(key));
        REQUIRE_FALSE(incomplete.has_value());
        CHECK(incomplete.error()[0].find(key) != std::string::npos);
    }
    const auto malformed = parse_node_settings(settings_text("bounds.grace_s") + "bounds.grace_s=six\n");
    REQUIRE_FALSE(malformed.has_value());
    CHECK(malformed.error()[0].find("line 16: bounds.grace_s") == 0);
}

}  // namespace masticpass::platform
