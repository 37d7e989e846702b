#include "decision/jobs/job_json.h"

#include <doctest/doctest.h>

namespace masticpass {

// Guards against members that are lost between the entry VM that stores a job and the owner that reads it.
TEST_CASE("a stored job is parsed as it was written") {
    job_step first{.task_count = 3,
                   .per_task = {.cpu_millis = 500, .memory_mb = 64, .accelerators = 1},
                   .estimate = absl::Milliseconds(900)};
    first.preferred_rack = "r1";
    first.required_label = "a";
    first.maximum_per_worker = 2;
    first.is_checkpointable = true;
    job_step second{.task_count = 1};
    second.predecessors = {0};
    second.is_long_running = true;
    second.maximum_unavailable = 0;
    second.image = "image";
    second.target_latency = absl::Milliseconds(80);
    const accepted_job job{.queue = queue_name("q"),
                           .accepted_at = absl::FromUnixMillis(1700000000123),
                           .specification = {.payload = "text \"with\" \u00e9", .steps = {first, second}}};
    const auto read = parse_accepted_job(write_accepted_job(job));
    REQUIRE(read.has_value());
    CHECK(write_accepted_job(*read) == write_accepted_job(job));
    CHECK(read->specification.payload == job.specification.payload);
    CHECK(read->specification.steps[1].maximum_unavailable == 0);
    CHECK(read->accepted_at == job.accepted_at);
}

// Guards against invalid input that is accepted in part or ends the process.
TEST_CASE("an invalid specification is refused with the path of the error") {
    const auto message = [](const char* text) {
        const auto job = parse_job_specification(text);
        REQUIRE_FALSE(job.has_value());
        return to_string(job.error().front());
    };
    CHECK_FALSE(message("").empty());
    CHECK_FALSE(message("[]").empty());
    CHECK(message(R"({"steps":[]})").find("steps") == 0);
    CHECK(message(R"({"steps":[{"count":0}]})").find("steps[0].count") == 0);
    CHECK(message(R"({"steps":[{"count":1000000}]})").find("steps[0].count") == 0);
    CHECK(message(R"({"steps":[{"count":1,"cpu_millis":-1}]})").find("steps[0]") == 0);
    CHECK(message(R"({"steps":[{"count":1,"after":[0]}]})").find("steps[0].after") == 0);
    CHECK(message(R"({"steps":[{"count":1},{"count":1,"after":[7]}]})").find("steps[1].after") == 0);
    CHECK(message(R"({"steps":[{"count":"one"}]})").find("steps[0].count") == 0);
    CHECK(message(R"({"steps":[{"count":1,"wrong":1}]})").find("steps[0].wrong") == 0);
}

// Guards against task results that are lost at a change of owner.
TEST_CASE("a job record is parsed as it was written") {
    job_record record{.phase = job_phase::running, .is_timed = true, .last_run_number = 65};
    record.steps.push_back(
        {.occurrence = 2, .step = 1, .done = {0, 3}, .failures = {{.index = 1, .run = 65}}});
    const auto read = parse_job_record(write_job_record(record));
    REQUIRE(read.has_value());
    CHECK(write_job_record(*read) == write_job_record(record));
    CHECK(read->last_run_number == 65);
    CHECK(parse_job_record(R"({"phase":"queued"})")->last_run_number == 0);
    CHECK_FALSE(parse_job_record(R"({"phase":"queued","last_run":9223372036854775807})").has_value());
    CHECK_FALSE(parse_job_record(R"({"phase":"queued","last_run":-1})").has_value());
    const char* const failure =
        R"({"phase":"running","steps":[{"step":0,"failures":[[0,9223372036854775807]]}]})";
    CHECK_FALSE(parse_job_record(failure).has_value());
    CHECK_FALSE(parse_job_record("{}").has_value());
    CHECK_FALSE(parse_job_record("[1]").has_value());
    CHECK_FALSE(parse_job_record(R"({"phase":"running","steps":[3]})").has_value());
}

TEST_CASE("task names are parsed as they are written") {
    const task_name task{.job = job_id("5c0e7a21d94b36f8"), .occurrence = 2, .step = 1, .index = 17};
    CHECK(parse_task_name(to_string(task)) == task);
    for (const char* const text : {"", "a", "a.1.2", "a.1.2.x", "a.1.2.-3", "a.1.2.3.4", ".1.2.3"}) {
        CHECK_FALSE(parse_task_name(text).has_value());
    }
}

}  // namespace masticpass
