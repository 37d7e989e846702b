#include <limits>

#include <doctest/doctest.h>

#include "decision/jobs/job_fixture.h"

// Workers that restart under the same id, and entries of the directory that seem to say so.
namespace masticpass {

namespace {

using order_kind = worker_order::order_kind;

}  // namespace

// Guards against a VM that is never used again: a worker whose VM was listed as down was considered
// terminated permanently, although it started again under the same id.
TEST_CASE("a worker that restarts under the same id is used again") {
    job_fixture fixture(1);
    fixture.scheduler.handle_terminated(worker_id("w1"), fixture.now);
    fixture.add("j", {job_fixture::make_step(1)});
    CHECK(fixture.start_all().empty());
    fixture.entries[0].started_ms = 2;
    static_cast<void>(fixture.scheduler.set_workers(fixture.entries, fixture.now));
    CHECK(fixture.start_all().empty());
    fixture.report("w1", {.started_ms = 2});
    CHECK(fixture.start_all().size() == 1);
}

// Guards against runs of a worker's earlier incarnation that are treated as running.
TEST_CASE("a restarted worker has lost its runs") {
    job_fixture fixture(1);
    fixture.add("j", {job_fixture::make_step(1)});
    CHECK(fixture.start_all().size() == 1);
    fixture.report("w1", {.started_ms = 2});
    CHECK(fixture.start_all().size() == 1);
}

// Guards against a task that runs twice: a start that a restarted worker had accepted before its first report
// was taken for a run of the worker's earlier incarnation and was released.
TEST_CASE("a start that may have reached a restarted worker is kept until a later report") {
    job_fixture fixture;
    fixture.add("j", {job_fixture::make_step(1)});
    const auto starts = fixture.plan(order_kind::start);
    REQUIRE(starts.size() == 1);
    const absl::Time poll_sent_at = fixture.now;
    fixture.now += absl::Milliseconds(1);
    fixture.scheduler.handle_start_outcome(starts[0], start_outcome::accepted, fixture.now);
    fixture.now += absl::Milliseconds(1);
    fixture.scheduler.handle_report(starts[0].worker, {.started_ms = 2}, poll_sent_at, fixture.now);
    CHECK(fixture.start_all().empty());
    fixture.report(starts[0].worker.value(), {.started_ms = 2});
    CHECK(fixture.start_all().size() == 1);
}

// Guards against responses of an earlier incarnation that are taken for the state of the present one, in each
// order of the response to a start, the restart and the response to a stop.
TEST_CASE("a response counts only for the incarnation of the worker that sent it") {
    constexpr std::int64_t first = 1;
    constexpr std::int64_t second = 2;
    constexpr std::int64_t third = 3;
    job_fixture fixture(1);
    fixture.add("j", {job_fixture::make_step(1)});
    const auto starts = fixture.plan(order_kind::start);
    REQUIRE(starts.size() == 1);
    const worker_id worker = starts[0].worker;
    const task_name task = starts[0].task;
    const auto respond_to_start = [&](start_outcome outcome, std::int64_t started_ms) {
        fixture.now += absl::Milliseconds(1);
        fixture.scheduler.handle_start_outcome(starts[0], outcome, fixture.now, started_ms);
    };
    const auto has_run = [&] { return fixture.scheduler.workers().at(worker).runs.contains(task); };

    SUBCASE("the restarted worker accepts the start before its first report") {
        respond_to_start(start_outcome::accepted, second);
        fixture.report("w1", {.started_ms = second, .running = {{.task = task, .run = starts[0].run}}});
        CHECK(fixture.plan(order_kind::stop).empty());
        CHECK(has_run());
    }
    SUBCASE("the earlier incarnation accepts the start, and then the worker restarts") {
        respond_to_start(start_outcome::accepted, first);
        fixture.report("w1", {.started_ms = second});
        CHECK(fixture.start_all().size() == 1);
    }
    SUBCASE("the response of the earlier incarnation arrives after the report of the next") {
        fixture.report("w1", {.started_ms = second});
        respond_to_start(start_outcome::accepted, first);
        CHECK(fixture.start_all().empty());
        CHECK(fixture.plan(order_kind::stop).empty());
        CHECK(has_run());
    }
    SUBCASE("a start without a response is blocked on each incarnation, whichever confirmed the stop") {
        respond_to_start(start_outcome::unknown, 0);
        auto stops = fixture.plan(order_kind::stop);
        REQUIRE(stops.size() == 1);
        fixture.report("w1", {.started_ms = second});
        fixture.scheduler.handle_stop_response(stops[0], true, fixture.now, first);
        fixture.report("w1", {.started_ms = second});
        CHECK(has_run());
        stops = fixture.plan(order_kind::stop);
        REQUIRE(stops.size() == 1);
        fixture.scheduler.handle_stop_response(stops[0], true, fixture.now, second);
        fixture.report("w1", {.started_ms = third});
        CHECK(has_run());
        stops = fixture.plan(order_kind::stop);
        REQUIRE(stops.size() == 1);
        fixture.scheduler.handle_stop_response(stops[0], true, fixture.now, third);
        CHECK(fixture.start_all().empty());
        fixture.report("w1", {.started_ms = third});
        CHECK_FALSE(has_run());
    }
    SUBCASE("a confirmed stop that names no incarnation counts only if the worker has not restarted") {
        respond_to_start(start_outcome::unknown, 0);
        const auto stops = fixture.plan(order_kind::stop);
        fixture.report("w1", {.started_ms = second});
        fixture.scheduler.handle_stop_response(stops[0], true, fixture.now);
        fixture.report("w1", {.started_ms = second});
        CHECK(has_run());
    }
    SUBCASE("a report of an earlier incarnation changes nothing") {
        respond_to_start(start_outcome::accepted, second);
        fixture.report("w1", {.started_ms = second, .running = {{.task = task, .run = starts[0].run}}});
        fixture.report(
            "w1",
            {.started_ms = first,
             .ended = {{.sequence_number = 9, .task = task, .run = 1, .outcome = run_outcome::lapsed}}});
        CHECK(has_run());
        CHECK(fixture.scheduler.workers().at(worker).last_processed_end == 0);
    }
    SUBCASE("the worker restarts twice between two reports") {
        respond_to_start(start_outcome::accepted, second);
        fixture.report("w1", {.started_ms = third});
        CHECK(fixture.start_all().size() == 1);
    }
}

// Guards against running work that is started again elsewhere because another writer changed the directory
// entry of its worker.
TEST_CASE("a directory entry ends no run, whatever it contains") {
    job_fixture fixture;
    fixture.add("j", {job_fixture::make_step(1)});
    const auto starts = fixture.start_all();
    REQUIRE(starts.size() == 1);
    SUBCASE("it names another start of the worker") {
        fixture.entries[0].started_ms = std::numeric_limits<std::int64_t>::max();
        fixture.entries[1].started_ms = std::numeric_limits<std::int64_t>::max();
    }
    SUBCASE("it is missing, since it could not be read") {
        fixture.entries.clear();
    }
    static_cast<void>(fixture.scheduler.set_workers(fixture.entries, fixture.now));
    fixture.report_all(starts[0].worker);
    CHECK(fixture.start_all().empty());
    CHECK(fixture.scheduler.workers().at(starts[0].worker).runs.contains(starts[0].task));
    fixture.report_end(starts[0], run_outcome::done);
    CHECK(fixture.phase("j") == job_phase::completed);
}

}  // namespace masticpass
