#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "decision/jobs/job_fixture.h"

// What a new owner concludes from the reports of workers on which an earlier owner has placed runs.
namespace masticpass {

namespace {

constexpr absl::Duration interval = absl::Seconds(10);

// A new owner that has loaded one scheduled job, whose first occurrence an earlier owner placed on worker w1,
// and has made no plan yet.
struct takeover_fixture {
    explicit takeover_fixture(int task_count) {
        const queue_rules queue{.name = queue_name("q"), .pool = pool_name("p"), .max_attempts = 2};
        scheduler.set_rules({&queue, 1}, {});
        const std::vector<worker_entry> entries = {job_fixture::make_worker("w1"),
                                                   job_fixture::make_worker("w2")};
        static_cast<void>(scheduler.set_workers(entries, now));
        const job_record record{.phase = job_phase::running, .is_timed = true, .workers = {worker_id("w1")}};
        scheduler.add_job(job_id("j"),
                          {.queue = queue_name("q"),
                           .accepted_at = now,
                           .specification = {.steps = {job_fixture::make_step(task_count)},
                                             .occurrences = occurrences,
                                             .first_due = first_due,
                                             .interval = interval}},
                          {.accepted_at = now, .is_inherited = true}, &record);
    }

    void report(const std::string& worker, worker_report contents) {
        contents.started_ms = 1;
        now += absl::Milliseconds(1);
        scheduler.handle_report(worker_id(worker), contents, now, now);
    }

    // Returns the orders of one plan, whose records are stored.
    std::vector<worker_order> plan() {
        std::vector<worker_order> orders = scheduler.plan(now, wall_clock_offset);
        for (worker_order& start : scheduler.confirm_batch(scheduler.take_batch(now), true)) {
            orders.push_back(std::move(start));
        }
        return orders;
    }

    static task_name task(int index, int occurrence = 0) {
        return {.job = job_id("j"), .occurrence = occurrence, .step = 0, .index = index};
    }

    static constexpr int occurrences = 3;
    absl::Time now = absl::UnixEpoch() + absl::Seconds(100);
    absl::Time first_due = now - absl::Seconds(1);
    absl::Duration wall_clock_offset = absl::ZeroDuration();
    job_scheduler scheduler{{.first_inherited_run_number = 65}};
};

}  // namespace

// Guards against tasks of scheduled jobs that run twice after a change of owner: their runs were stopped, and
// their results acknowledged and forgotten, since the new owner had not yet created the occurrence.
TEST_CASE("a new owner keeps the runs and results of a scheduled job that come before its first plan") {
    takeover_fixture fixture(2);
    fixture.report("w1", {.running = {{.task = takeover_fixture::task(0), .run = 1}},
                          .ended = {{.sequence_number = 1,
                                     .task = takeover_fixture::task(1),
                                     .run = 1,
                                     .outcome = run_outcome::done}}});
    fixture.report("w2", {});
    fixture.scheduler.finish_recovery(fixture.now);
    CHECK(fixture.plan().empty());
    CHECK(fixture.scheduler.workers().at(worker_id("w1")).last_stored_end == 1);
    fixture.report("w1", {.ended = {{.sequence_number = 2,
                                     .task = takeover_fixture::task(0),
                                     .run = 1,
                                     .outcome = run_outcome::done}}});
    CHECK(fixture.plan().empty());
    const record_batch nothing_changed = fixture.scheduler.take_batch(fixture.now);
    CHECK(nothing_changed.updates.empty());
    fixture.now += interval;
    CHECK(fixture.plan().size() == 2);
}

// Guards against the same fault where the new owner's wall clock is behind that of the earlier owner, and
// against starts before the due time of an occurrence that only the reports of workers have shown.
TEST_CASE("a run of an occurrence that is not due on the new owner's clock is kept") {
    takeover_fixture fixture(2);
    fixture.wall_clock_offset = -absl::Seconds(2);
    fixture.report("w1", {.running = {{.task = takeover_fixture::task(0), .run = 1}}});
    fixture.report("w2", {});
    fixture.scheduler.finish_recovery(fixture.now);
    CHECK(fixture.plan().empty());
    CHECK(fixture.scheduler.workers().at(worker_id("w1")).runs.at(takeover_fixture::task(0)).phase ==
          run_phase::running);
    fixture.now += absl::Seconds(2);
    const auto starts = fixture.plan();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task == takeover_fixture::task(1));
}

// Guards against an occurrence that a later one hides: a job that counts as complete without it, or never
// starts it.
TEST_CASE("the occurrences before one that a worker reports still start") {
    takeover_fixture fixture(1);
    fixture.report("w1", {.ended = {{.sequence_number = 1,
                                     .task = takeover_fixture::task(0, 2),
                                     .run = 1,
                                     .outcome = run_outcome::done}}});
    fixture.report("w2", {});
    fixture.scheduler.finish_recovery(fixture.now);
    auto starts = fixture.plan();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task == takeover_fixture::task(0, 0));
    fixture.now += 3 * interval;
    starts = fixture.plan();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task == takeover_fixture::task(0, 1));
    CHECK(fixture.scheduler.find_job(job_id("j"))->phase() == job_phase::running);
}

// Guards against runs of tasks that a job does not have, and against a number that creates occurrences
// without end.
TEST_CASE("a reported run of a task that the job does not have is stopped") {
    takeover_fixture fixture(1);
    task_name unknown = takeover_fixture::task(0, takeover_fixture::occurrences);
    SUBCASE("of an occurrence after the last one") {}
    SUBCASE("of a negative occurrence") {
        unknown = takeover_fixture::task(0, -1);
    }
    SUBCASE("of a step that does not exist") {
        unknown.occurrence = 0;
        unknown.step = 1;
    }
    SUBCASE("of an index that does not exist") {
        unknown = takeover_fixture::task(1);
    }
    fixture.report("w1", {.running = {{.task = unknown, .run = 1}}});
    const auto orders = fixture.plan();
    REQUIRE(orders.size() >= 1);
    CHECK(orders[0].kind == worker_order::order_kind::stop);
    CHECK(orders[0].task == unknown);
}

// Guards against tasks that run again although they have ended: a worker lists only some of many run ends,
// and the others come after these are acknowledged.
TEST_CASE("a new owner starts no task whose end a worker may have yet to list") {
    takeover_fixture fixture(3);
    const auto end_of = [](int index) {
        return listed_end{.sequence_number = index + 1,
                          .task = takeover_fixture::task(index),
                          .run = 1,
                          .outcome = run_outcome::done};
    };
    const auto w1 = [&]() -> const worker_state& { return fixture.scheduler.workers().at(worker_id("w1")); };
    fixture.report("w2", {});
    fixture.report("w1", {.ended = {end_of(0)}, .coverage = report_coverage::unlisted_ends});
    CHECK_FALSE(fixture.scheduler.can_finish_recovery(false));
    CHECK_FALSE(fixture.scheduler.can_finish_recovery(true));
    CHECK_FALSE(w1().is_known_to_be_idle());
    CHECK(fixture.scheduler.plan(fixture.now, fixture.wall_clock_offset).empty());
    const record_batch batch = fixture.scheduler.take_batch(fixture.now);
    CHECK(batch.starts.empty());
    // An owner that succeeds this one has to wait for the worker too.
    REQUIRE(batch.updates.size() == 1);
    CHECK(batch.updates[0].record.find("w1") != std::string::npos);
    CHECK(fixture.scheduler.confirm_batch(batch, true).empty());
    SUBCASE("the worker lists the other ends") {
        fixture.report("w1", {.ended = {end_of(1), end_of(2)}});
        CHECK(fixture.scheduler.can_finish_recovery(false));
        CHECK(fixture.plan().empty());
        CHECK(w1().is_known_to_be_idle());
    }
    SUBCASE("the worker becomes unreachable until its run leases have expired") {
        fixture.scheduler.handle_unreachable(worker_id("w1"));
        CHECK_FALSE(fixture.scheduler.can_finish_recovery(true));
        CHECK(fixture.plan().empty());
        fixture.scheduler.handle_lease_expired(worker_id("w1"), fixture.now);
        CHECK(fixture.scheduler.can_finish_recovery(true));
        CHECK(fixture.plan().size() == 2);
    }
}

// Guards against run numbers that are used a second time: a task that is restarted often in one term gets
// higher numbers than those with which the next owner began.
TEST_CASE("a new owner begins above every run number that earlier owners have used") {
    job_fixture earlier;
    earlier.add("j", {job_fixture::make_step(1)});
    std::string record;
    worker_order last;
    for (int count = 0; count < 100; ++count) {
        static_cast<void>(earlier.scheduler.plan(earlier.now, absl::ZeroDuration()));
        const record_batch batch = earlier.scheduler.take_batch(earlier.now);
        REQUIRE(batch.updates.size() == 1);
        record = batch.updates[0].record;
        const auto orders = earlier.scheduler.confirm_batch(batch, true);
        REQUIRE(orders.size() == 1);
        last = orders[0];
        earlier.scheduler.handle_start_outcome(last, start_outcome::not_sent, earlier.now);
    }
    REQUIRE(last.run == 100);

    job_fixture next;
    const auto stored = parse_job_record(record);
    REQUIRE(stored.has_value());
    next.scheduler.add_job(
        job_id("j"), {.queue = queue_name("q"), .specification = {.steps = {job_fixture::make_step(1)}}},
        {.accepted_at = next.now, .is_inherited = true}, &*stored);
    const auto starts = next.start_all();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].run > last.run);
}

// Guards against two runs of a task: an earlier owner used higher run numbers than its successor, and a late
// end of one of its runs counted as the end of the successor's run, which worked on.
TEST_CASE("the end of a run with a higher number does not end the run of this owner") {
    takeover_fixture fixture(1);
    fixture.report("w2", {});
    fixture.scheduler.handle_lease_expired(worker_id("w1"), fixture.now);
    fixture.scheduler.finish_recovery(fixture.now);
    const auto starts = fixture.plan();
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].worker == worker_id("w2"));
    const task_name task = starts[0].task;
    fixture.scheduler.handle_start_outcome(starts[0], start_outcome::accepted, fixture.now);
    const run_number later_run = starts[0].run + 50;
    fixture.report(
        "w1",
        {.ended = {{.sequence_number = 1, .task = task, .run = later_run, .outcome = run_outcome::lapsed}}});
    CHECK(fixture.plan().empty());
    const auto& runs = fixture.scheduler.workers().at(worker_id("w2")).runs;
    CHECK(runs.at(task).phase == run_phase::running);
    fixture.report(
        "w2",
        {.ended = {
             {.sequence_number = 1, .task = task, .run = starts[0].run, .outcome = run_outcome::failed}}});
    const auto restarts = fixture.plan();
    REQUIRE(restarts.size() == 1);
    CHECK(restarts[0].run > later_run);
}

// Guards against two runs of a task: a run that works was stopped, and started elsewhere meanwhile, because
// of the end of a run with a higher number.
TEST_CASE("a found run is kept although a run with a higher number has ended") {
    takeover_fixture fixture(1);
    const task_name task = takeover_fixture::task(0);
    fixture.report(
        "w1", {.ended = {{.sequence_number = 1, .task = task, .run = 60, .outcome = run_outcome::lapsed}}});
    fixture.report("w2", {.running = {{.task = task, .run = 20}}});
    fixture.scheduler.finish_recovery(fixture.now);
    CHECK(fixture.plan().empty());
    CHECK(fixture.scheduler.workers().at(worker_id("w2")).runs.at(task).phase == run_phase::running);
}

// Guards against a task that never starts again: a worker has ended a run with a higher number than the one
// that is placed there, and so will never execute its start.
TEST_CASE("a task whose start a worker can no longer execute is placed again") {
    takeover_fixture fixture(1);
    fixture.report("w2", {});
    fixture.report("w1", {});
    fixture.scheduler.finish_recovery(fixture.now);
    const auto starts = fixture.plan();
    REQUIRE(starts.size() == 1);
    fixture.report(starts[0].worker.value(), {.ended = {{.sequence_number = 1,
                                                         .task = starts[0].task,
                                                         .run = starts[0].run + 50,
                                                         .outcome = run_outcome::lapsed}}});
    const auto restarts = fixture.plan();
    REQUIRE(restarts.size() == 1);
    CHECK(restarts[0].run > starts[0].run + 50);
}

// Guards against a burst of run ends that keeps new tasks off a worker, or delays an owner's own tasks.
TEST_CASE("a worker that has been covered completely stays so when many runs end at once") {
    takeover_fixture fixture(1);
    fixture.report("w1", {});
    fixture.report("w2", {});
    fixture.report("w1", {.coverage = report_coverage::unlisted_ends});
    CHECK(fixture.scheduler.can_finish_recovery(false));
    CHECK(fixture.plan().size() == 1);
}

}  // namespace masticpass
