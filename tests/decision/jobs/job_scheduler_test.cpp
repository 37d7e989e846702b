#include "decision/jobs/job_scheduler.h"

#include <doctest/doctest.h>

#include "decision/jobs/job_fixture.h"

namespace masticpass {

namespace {

using order_kind = worker_order::order_kind;

}  // namespace

// Guards against steps that start before the results that they need exist.
TEST_CASE("a step starts when the steps before it are done") {
    job_fixture fixture;
    job_step second = job_fixture::make_step(1);
    second.predecessors = {0};
    fixture.add("j", {job_fixture::make_step(2), second});
    const auto first = fixture.start_all();
    REQUIRE(first.size() == 2);
    fixture.report_end(first[0], run_outcome::done);
    CHECK(fixture.start_all().empty());
    fixture.report_end(first[1], run_outcome::done);
    const auto last = fixture.start_all();
    REQUIRE(last.size() == 1);
    CHECK(last[0].task.step == 1);
    fixture.report_end(last[0], run_outcome::done);
    CHECK(fixture.phase("j") == job_phase::completed);
}

// Guards against a second run of a task whose first start may still be carried out.
TEST_CASE("a start without a response is stopped before the task starts again") {
    job_fixture fixture;
    fixture.add("j", {job_fixture::make_step(1)});
    const auto starts = fixture.plan(order_kind::start);
    REQUIRE(starts.size() == 1);
    fixture.scheduler.handle_start_outcome(starts[0], start_outcome::unknown, fixture.now);
    const auto stops = fixture.plan(order_kind::stop);
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == starts[0].run);
    CHECK(fixture.plan(order_kind::start).empty());
    SUBCASE("the stop is confirmed") {
        fixture.scheduler.handle_stop_response(stops[0], true, fixture.now);
        CHECK(fixture.plan(order_kind::start).empty());
        fixture.report(starts[0].worker.value(), {});
        const auto again = fixture.plan(order_kind::start);
        REQUIRE(again.size() == 1);
        CHECK(again[0].run > starts[0].run);
    }
    SUBCASE("the stop is not confirmed and is sent again") {
        fixture.scheduler.handle_stop_response(stops[0], false, fixture.now);
        CHECK(fixture.plan(order_kind::stop).empty());
        fixture.now += absl::Seconds(1);
        CHECK(fixture.plan(order_kind::stop).size() == 1);
        fixture.report(starts[0].worker.value(), {});
        CHECK(fixture.plan(order_kind::start).empty());
    }
}

// Guards against tasks that stay placed forever: their names were read after the run had been removed.
TEST_CASE("the tasks of a terminated worker start elsewhere") {
    job_fixture fixture;
    fixture.add("j", {job_fixture::make_step(2, 4000)});
    const auto starts = fixture.start_all();
    REQUIRE(starts.size() == 2);
    SUBCASE("the list of VMs shows the termination") {
        fixture.scheduler.handle_terminated(starts[0].worker, fixture.now);
    }
    SUBCASE("the lease has expired") {
        fixture.scheduler.handle_lease_expired(starts[0].worker, fixture.now);
    }
    CHECK(fixture.start_all().empty());
    fixture.report_end(starts[1], run_outcome::done);
    const auto again = fixture.start_all();
    REQUIRE(again.size() == 1);
    CHECK(again[0].task == starts[0].task);
    CHECK(again[0].worker == starts[1].worker);
}

// Guards against a task that runs twice because a worker that responds slowly was considered failed.
TEST_CASE("the tasks of an unreachable worker stay placed until its lease expires") {
    job_fixture fixture;
    fixture.add("j", {job_fixture::make_step(1)});
    const auto starts = fixture.start_all();
    fixture.scheduler.handle_unreachable(starts[0].worker);
    fixture.now += absl::Seconds(3);
    CHECK(fixture.start_all().empty());
}

// Guards against a run end that counts as two attempts because two owners process it, or two polls report it.
TEST_CASE("a repeated report of a failed run counts once") {
    job_fixture fixture;
    fixture.add("j", {job_fixture::make_step(1)});
    const auto first = fixture.start_all();
    fixture.report_end(first[0], run_outcome::failed);
    fixture.report_end(first[0], run_outcome::failed);
    CHECK(fixture.phase("j") == job_phase::running);
    const auto second = fixture.start_all();
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker != first[0].worker);
    fixture.report_end(second[0], run_outcome::failed);
    CHECK(fixture.phase("j") == job_phase::failed);
    CHECK(fixture.start_all().empty());
}

// Guards against a job that fails before its maximum number of attempts because a new owner has not read the
// configuration yet.
TEST_CASE("a job does not fail while the rules of its queue are unknown") {
    job_scheduler scheduler({});
    const absl::Time now = absl::UnixEpoch();
    const worker_entry worker = job_fixture::make_worker("w1");
    static_cast<void>(scheduler.set_workers({&worker, 1}, now));
    scheduler.add_job(job_id("j"),
                      {.queue = queue_name("unknown"),
                       .accepted_at = now,
                       .specification = {.steps = {job_fixture::make_step(1)}}},
                      {.accepted_at = now}, nullptr);
    scheduler.handle_report(worker.id,
                            {.started_ms = 1,
                             .ended = {{.sequence_number = 1,
                                        .task = job_fixture::task("j", 0),
                                        .run = 1,
                                        .outcome = run_outcome::failed}}},
                            now, now);
    CHECK(scheduler.find_job(job_id("j"))->phase() != job_phase::failed);
}

// Guards against acknowledging results that are lost if this owner fails.
TEST_CASE("run ends are acknowledged after their records are stored") {
    job_fixture fixture;
    fixture.add("j", {job_fixture::make_step(1)});
    const auto starts = fixture.start_all();
    fixture.report_end(starts[0], run_outcome::done);
    const auto stored = [&] { return fixture.scheduler.workers().at(starts[0].worker).last_stored_end; };
    record_batch batch = fixture.scheduler.take_batch(fixture.now);
    REQUIRE(batch.updates.size() == 1);
    CHECK(stored() == 0);
    fixture.scheduler.confirm_batch(batch, false);
    CHECK(stored() == 0);
    batch = fixture.scheduler.take_batch(fixture.now);
    REQUIRE(batch.updates.size() == 1);
    CHECK(batch.updates[0].record.find("completed") != std::string::npos);
    fixture.scheduler.confirm_batch(batch, true);
    CHECK(stored() == fixture.ends_reported);
}

// Guards against tasks of cancelled jobs that keep using workers.
TEST_CASE("a cancelled job's runs are stopped and its waiting tasks never start") {
    job_fixture fixture(1);
    fixture.add("j", {job_fixture::make_step(6)});
    CHECK(fixture.start_all().size() == 4);
    fixture.scheduler.cancel_job(job_id("j"));
    CHECK(fixture.plan(order_kind::stop).size() == 4);
    CHECK(fixture.start_all().empty());
    CHECK(fixture.phase("j") == job_phase::cancelled);
}

// Guards against a task that is run by two owners: only the workers know what the previous owner started.
TEST_CASE("a new owner starts inherited tasks after every worker has reported") {
    job_scheduler scheduler({.first_inherited_run_number = 65});
    const absl::Time now = absl::UnixEpoch();
    const queue_rules queue{.name = queue_name("q"), .pool = pool_name("p"), .max_attempts = 2};
    scheduler.set_rules({&queue, 1}, {});
    const std::vector<worker_entry> workers = {job_fixture::make_worker("w1"),
                                               job_fixture::make_worker("w2")};
    static_cast<void>(scheduler.set_workers(workers, now));
    scheduler.add_job(job_id("j"),
                      {.queue = queue_name("q"),
                       .accepted_at = now,
                       .specification = {.steps = {job_fixture::make_step(2)}}},
                      {.accepted_at = now, .is_inherited = true}, nullptr);
    scheduler.handle_report(worker_id("w1"), {.started_ms = 1}, now, now);
    CHECK_FALSE(scheduler.can_finish_recovery(false));
    CHECK(scheduler.plan(now, absl::ZeroDuration()).empty());
    scheduler.handle_report(worker_id("w2"),
                            {.started_ms = 1, .running = {{.task = job_fixture::task("j", 1), .run = 3}}},
                            now, now);
    REQUIRE(scheduler.can_finish_recovery(false));
    scheduler.finish_recovery(now);
    CHECK(scheduler.plan(now, absl::ZeroDuration()).empty());
    const auto orders = scheduler.confirm_batch(scheduler.take_batch(now), true);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].task == job_fixture::task("j", 0));
    CHECK(orders[0].run == 65);
}

// Guards against runs that the next owner does not know of, and against a takeover that delays every job
// because a few workers do not respond.
TEST_CASE(
    "a start is ordered after its worker is stored, and a new owner waits only for the stored workers") {
    job_fixture first;
    first.add("placed", {job_fixture::make_step(1)});
    CHECK(first.scheduler.plan(first.now, absl::ZeroDuration()).empty());
    const record_batch batch = first.scheduler.take_batch(first.now);
    CHECK(first.scheduler.confirm_batch(batch, false).empty());
    const record_batch repeated = first.scheduler.take_batch(first.now);
    const auto starts = first.scheduler.confirm_batch(repeated, true);
    REQUIRE(starts.size() == 1);
    CHECK(repeated.updates[0].record.find(starts[0].worker.value()) != std::string::npos);

    job_scheduler next({.first_inherited_run_number = 65});
    const queue_rules queue{.name = queue_name("q"), .pool = pool_name("p"), .max_attempts = 2};
    next.set_rules({&queue, 1}, {});
    static_cast<void>(next.set_workers(first.entries, first.now));
    const std::string other = starts[0].worker == worker_id("w1") ? "w2" : "w1";
    next.handle_report(worker_id(other), {.started_ms = 1}, first.now, first.now);
    const auto add = [&](const char* id, const std::string& record_text) {
        const auto record = parse_job_record(record_text);
        REQUIRE(record.has_value());
        next.add_job(job_id(id),
                     {.queue = queue_name("q"),
                      .accepted_at = first.now,
                      .specification = {.steps = {job_fixture::make_step(1)}}},
                     {.accepted_at = first.now, .is_inherited = true}, &*record);
    };
    add("placed", repeated.updates[0].record);
    add("queued", write_job_record({}));
    next.plan(first.now, absl::ZeroDuration());
    const auto ordered = next.confirm_batch(next.take_batch(first.now), true);
    REQUIRE(ordered.size() == 1);
    CHECK(ordered[0].task.job == job_id("queued"));
    // The next owner's record still names the unresponsive worker.
    next.cancel_job(job_id("queued"));
    next.handle_lease_expired(starts[0].worker, first.now);
    next.plan(first.now, absl::ZeroDuration());
    CHECK(next.confirm_batch(next.take_batch(first.now), true).size() == 1);
}

// Guards against a queue that is reported as empty while its jobs wait: start orders were sent but not
// executed.
TEST_CASE("a job stays queued until a worker has accepted a task") {
    job_fixture fixture;
    fixture.add("j", {job_fixture::make_step(1)});
    const auto first = fixture.plan(order_kind::start);
    REQUIRE(first.size() == 1);
    CHECK(fixture.phase("j") == job_phase::queued);
    fixture.scheduler.handle_start_outcome(first[0], start_outcome::unhealthy, fixture.now);
    CHECK(fixture.phase("j") == job_phase::queued);
    fixture.now += absl::Seconds(1);
    const auto second = fixture.plan(order_kind::start);
    REQUIRE(second.size() == 1);
    fixture.scheduler.handle_start_outcome(second[0], start_outcome::accepted, fixture.now);
    CHECK(fixture.phase("j") == job_phase::running);
}

// Guards against a start order for a job that was cancelled while the placement of its task was being stored.
TEST_CASE("a planned start of a cancelled job is not ordered") {
    job_fixture fixture;
    fixture.add("j", {job_fixture::make_step(1)});
    fixture.scheduler.plan(fixture.now, absl::ZeroDuration());
    const record_batch batch = fixture.scheduler.take_batch(fixture.now);
    fixture.scheduler.cancel_job(job_id("j"));
    CHECK(fixture.scheduler.confirm_batch(batch, true).empty());
    CHECK(fixture.plan(order_kind::stop).empty());
}

// Guards against a delayed start order that is executed after its task was placed on another worker.
TEST_CASE("a run on a worker where its task is not placed is stopped") {
    job_fixture fixture;
    fixture.add("j", {job_fixture::make_step(1)});
    const auto starts = fixture.start_all();
    const std::string other = starts[0].worker == worker_id("w1") ? "w2" : "w1";
    fixture.report(other, {.running = {{.task = starts[0].task, .run = starts[0].run}}});
    const auto stops = fixture.plan(order_kind::stop);
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].worker == worker_id(other));
}

// Guards against starts that a worker refuses, or that exceed the capacity of a worker that does not check
// it.
TEST_CASE("placement respects free capacity, required labels and the limit for one worker") {
    job_fixture fixture;
    SUBCASE("free capacity") {
        fixture.add("j", {job_fixture::make_step(9)});
        CHECK(fixture.start_all().size() == 8);
        CHECK(fixture.scheduler.loads().at(pool_name("p")).waiting_tasks == 1);
    }
    SUBCASE("required label") {
        job_step step = job_fixture::make_step(1);
        step.required_label = "b";
        fixture.add("j", {step});
        CHECK(fixture.start_all().empty());
    }
    SUBCASE("limit for one worker") {
        job_step step = job_fixture::make_step(5);
        step.maximum_per_worker = 1;
        fixture.add("j", {step});
        CHECK(fixture.start_all().size() == 2);
    }
    SUBCASE("a cordoned worker") {
        fixture.scheduler.set_cordoned(worker_id("w1"), true);
        fixture.add("j", {job_fixture::make_step(8)});
        CHECK(fixture.start_all().size() == 4);
    }
}

// Guards against a gang of which some tasks wait for the others without progress until they are stopped.
TEST_CASE("a gang starts as a whole with one run number") {
    job_fixture fixture;
    job_step step = job_fixture::make_step(9);
    step.is_gang = true;
    fixture.add("large", {step});
    CHECK(fixture.start_all().empty());
    step.task_count = 6;
    fixture.add("small", {step});
    const auto starts = fixture.start_all();
    REQUIRE(starts.size() == 6);
    for (const worker_order& start : starts) {
        CHECK(start.run == starts[0].run);
    }
    fixture.report_end(starts[0], run_outcome::done);
    CHECK(fixture.phase("small") == job_phase::completed);
}

// Load pattern: the demand of a queue is several times the capacity of its pool. Serving jobs in order of
// their deadlines makes all of them late.
TEST_CASE("jobs that can complete on time are placed before late jobs") {
    job_fixture fixture(1);
    fixture.add("late", {job_fixture::make_step(4)});
    fixture.now += absl::Seconds(10);
    fixture.report("w1", {});
    fixture.add("fresh", {job_fixture::make_step(4)});
    const auto starts = fixture.start_all();
    REQUIRE(starts.size() == 4);
    CHECK(starts[0].task.job == job_id("fresh"));
}

// Guards against a long-running job that stays down after a failure, and against evictions that make too many
// of its tasks unavailable at once.
TEST_CASE("long-running tasks are restarted and evicted one at a time") {
    job_fixture fixture(3);
    job_step step = job_fixture::make_step(2, 2000);
    step.is_long_running = true;
    step.maximum_unavailable = 1;
    step.maximum_per_worker = 1;
    fixture.add("j", {step});
    const auto starts = fixture.start_all();
    REQUIRE(starts.size() == 2);
    fixture.report(starts[0].worker.value(),
                   {.running = {{.task = starts[0].task, .run = 1, .progress_percent = 100}}});
    // The other task is not ready, so two tasks of the step would be unavailable.
    CHECK_FALSE(fixture.scheduler.evict_long_running_tasks(starts[0].worker, fixture.now));
    fixture.report(starts[1].worker.value(),
                   {.running = {{.task = starts[1].task, .run = 1, .progress_percent = 100}}});
    CHECK(fixture.scheduler.evict_long_running_tasks(starts[0].worker, fixture.now));
    CHECK_FALSE(fixture.scheduler.evict_long_running_tasks(starts[1].worker, fixture.now));
    fixture.report_end(starts[1], run_outcome::failed);
    CHECK(fixture.start_all().size() == 1);
    CHECK(fixture.phase("j") == job_phase::running);
}

// Guards against a faulty worker whose runs fail quickly, so that it always has free capacity and gets the
// tasks of every job.
TEST_CASE("a worker that fails tasks of several jobs is quarantined") {
    job_fixture fixture(1);
    fixture.add("a", {job_fixture::make_step(1)});
    fixture.add("b", {job_fixture::make_step(1)});
    const auto starts = fixture.start_all();
    REQUIRE(starts.size() == 2);
    fixture.report_end(starts[0], run_outcome::failed);
    fixture.report_end(starts[1], run_outcome::failed);
    fixture.add("c", {job_fixture::make_step(1)});
    CHECK(fixture.start_all().empty());
    fixture.now += worker_health::initial_quarantine;
    CHECK_FALSE(fixture.start_all().empty());
}

// Guards against serving tasks that are slowed down by tasks on the same worker that use idle CPU.
TEST_CASE("tasks that use idle CPU are throttled at once and sped up in steps") {
    job_fixture fixture(1);
    job_step serving = job_fixture::make_step(1);
    serving.is_long_running = true;
    serving.target_latency = absl::Milliseconds(100);
    job_step filling = job_fixture::make_step(1, 4000);
    filling.is_long_running = true;
    filling.uses_idle_cpu = true;
    fixture.add("j", {serving, filling});
    const auto starts = fixture.start_all();
    REQUIRE(starts.size() == 2);
    const auto report = [&](std::int64_t tail_ms) {
        fixture.report(
            "w1", {.running = {{.task = starts[0].task, .run = 1, .progress_percent = 100, .load = tail_ms},
                               {.task = starts[1].task, .run = 1, .progress_percent = 100}}});
        return fixture.plan(order_kind::throttle);
    };
    const auto down = report(120);
    REQUIRE(down.size() == 1);
    CHECK(down[0].speed_percent == 0);
    CHECK(report(20).empty());
    fixture.now += absl::Seconds(1);
    const auto up = report(20);
    REQUIRE(up.size() == 1);
    CHECK(up[0].speed_percent == 25);
    fixture.scheduler.handle_throttle_response(up[0], false, fixture.now);
    CHECK_FALSE(report(20).empty());
}

// Load pattern: jobs are cancelled, and VMs fail, while orders wait behind others that workers leave
// unanswered. Guards against starts of cancelled jobs, and against evictions that have become one too many
// for their step.
TEST_CASE("an order that waited is sent only if it is still wanted") {
    job_fixture fixture(3);
    SUBCASE("a start of a job that was cancelled") {
        fixture.add("j", {job_fixture::make_step(1)});
        const auto starts = fixture.plan(order_kind::start);
        REQUIRE(starts.size() == 1);
        CHECK(fixture.scheduler.is_wanted(starts[0]));
        fixture.scheduler.cancel_job(job_id("j"));
        CHECK_FALSE(fixture.scheduler.is_wanted(starts[0]));
        const auto stops = fixture.plan(order_kind::stop);
        REQUIRE(stops.size() == 1);
        fixture.scheduler.handle_start_outcome(starts[0], start_outcome::not_sent, fixture.now);
        CHECK_FALSE(fixture.scheduler.is_wanted(stops[0]));
        CHECK(fixture.scheduler.workers().at(starts[0].worker).runs.empty());
    }
    SUBCASE("an eviction while another task of the step has become unavailable") {
        job_step step = job_fixture::make_step(3, 3000);
        step.is_long_running = true;
        fixture.add("j", {step});
        const auto starts = fixture.start_all();
        REQUIRE(starts.size() == 3);
        for (const worker_order& start : starts) {
            fixture.report(start.worker.value(),
                           {.running = {{.task = start.task, .run = start.run, .progress_percent = 100}}});
        }
        CHECK(fixture.scheduler.evict_long_running_tasks(starts[0].worker, fixture.now));
        const auto stops = fixture.plan(order_kind::stop);
        REQUIRE(stops.size() == 1);
        CHECK(fixture.scheduler.is_wanted(stops[0]));
        fixture.scheduler.handle_terminated(starts[1].worker, fixture.now);
        CHECK_FALSE(fixture.scheduler.is_wanted(stops[0]));
        fixture.scheduler.handle_stop_response(stops[0], false, fixture.now);
        fixture.now += absl::Seconds(1);
        CHECK(fixture.plan(order_kind::stop).size() == 1);
    }
}

// Guards against a store that fills up with the records of ended jobs.
TEST_CASE("ended jobs are removed after their retention time") {
    job_fixture fixture;
    fixture.add("j", {job_fixture::make_step(1)});
    fixture.scheduler.cancel_job(job_id("j"));
    const absl::Time ended_at = fixture.now;
    fixture.scheduler.confirm_batch(fixture.scheduler.take_batch(ended_at), true);
    CHECK(fixture.scheduler.expired_jobs(ended_at, 10).empty());
    const auto expired = fixture.scheduler.expired_jobs(ended_at + absl::Seconds(1), 10);
    REQUIRE(expired.size() == 1);
    // The job is known until its keys have been removed.
    CHECK(fixture.scheduler.knows_job(expired[0].first));
    fixture.scheduler.remove_job(expired[0].first);
    CHECK_FALSE(fixture.scheduler.knows_job(expired[0].first));
    CHECK_FALSE(fixture.scheduler.knows_job(job_id("j")));
}

}  // namespace masticpass
