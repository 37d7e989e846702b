#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

#include "decision/jobs/job_scheduler.h"

namespace masticpass {

namespace {

// Delay of occurrences after their due time, since wall clocks differ slightly between machines.
constexpr absl::Duration occurrence_due_margin = absl::Milliseconds(20);
// Tasks that use idle CPU are throttled to zero while a serving task on their worker has at least this share
// of its target latency.
constexpr double throttle_latency_share = 0.8;
// Below this share, tasks that use idle CPU are sped up again, one step at a time.
constexpr double speed_up_latency_share = 0.5;
constexpr int speed_up_step_percent = 25;
// Workers report the tail latency of the last half second, so the effect of a step is visible only after
// about that time.
constexpr absl::Duration speed_up_interval = absl::Seconds(1);
constexpr double millis_per_core = 1000.0;
// A run counts as stuck only after it has made no progress for its estimated duration divided by this number.
constexpr int stuck_estimate_divisor = 8;
// A job that takes longer than this many times its objective is of no use to its caller.
constexpr double too_late_objective_factor = 3;

// Whether a waiting job can still complete in time for its caller.
enum class job_timeliness { on_time, late, too_late };

std::string_view timeliness_name(job_timeliness timeliness) {
    switch (timeliness) {
        case job_timeliness::on_time:
            return "on-time";
        case job_timeliness::late:
            return "late";
        case job_timeliness::too_late:
            return "too-late";
    }
    return "too-late";
}

job_timeliness classify_timeliness(const tracked_job& job, const queue_rules& rules, absl::Time now) {
    const absl::Duration objective = rules.stretch * job.critical_path() + rules.target_latency;
    const absl::Duration age = now + job.remaining_critical_path() - job.job_origin().accepted_at;
    if (age <= objective) {
        return job_timeliness::on_time;
    }
    return age <= too_late_objective_factor * objective ? job_timeliness::late : job_timeliness::too_late;
}

}  // namespace

// A job with waiting tasks and its sort key. Jobs are served in this order: long-running jobs first, since
// they are few and must be restarted at once; then by queue priority; then by timeliness (on time, late, too
// late); among equals the job with the least remaining work. The order by timeliness handles queues whose
// demand is several times the capacity of their pool: ordering by age or deadline would serve jobs that are
// already late and make all following jobs late too. Jobs that are too late get the remaining capacity; no
// job is refused.
struct job_scheduler::candidate {
    tracked_job* job = nullptr;
    const queue_rules* rules = nullptr;
    bool is_long_running = false;
    job_timeliness timeliness = job_timeliness::on_time;
    double remaining_core_seconds = 0;

    auto sort_key() const {
        return std::tuple(!is_long_running, rules->priority, timeliness, remaining_core_seconds,
                          job->job_origin().sequence_number);
    }
};

// A task of a gang that has a worker but is not yet planned, since the gang starts as a whole.
struct job_scheduler::placement {
    worker_state* worker = nullptr;
    int index = 0;
};

std::vector<worker_order> job_scheduler::plan(absl::Time now, absl::Duration wall_clock_offset) {
    std::vector<worker_order> orders = {};
    stop_stuck_runs(now);
    plan_stops(now, orders);
    plan_throttles(now, orders);
    plan_starts(now, wall_clock_offset);
    return orders;
}

void job_scheduler::plan_stops(absl::Time now, std::vector<worker_order>& orders) {
    for (auto& [id, worker] : workers_) {
        if (worker.entry.is_draining && worker.is_reachable) {
            evict_long_running_tasks(id, now);
        }
        for (auto& [task, run] : worker.runs) {
            const bool must_send = run.phase == run_phase::stopping && !run.is_stop_sent &&
                                   run.responded_at == absl::InfiniteFuture() && worker.is_reachable &&
                                   now >= run.next_stop_at;
            if (!must_send) {
                continue;
            }
            run.is_stop_sent = true;
            orders.push_back({.kind = worker_order::order_kind::stop,
                              .worker = id,
                              .task = task,
                              .run = run.run,
                              .worker_started_ms = worker.started_ms});
        }
    }
}

void job_scheduler::stop_stuck_runs(absl::Time now) {
    for (auto& [id, worker] : workers_) {
        if (!worker.is_reachable) {
            continue;
        }
        for (auto& [task, run] : worker.runs) {
            const absl::Duration stuck_timeout =
                std::max(options_.stuck_timeout, run.traits.estimate / stuck_estimate_divisor);
            if (run.phase != run_phase::running || run.traits.is_long_running || run.traits.is_gang ||
                now - run.last_progress_at < stuck_timeout) {
                continue;
            }
            run.phase = run_phase::stopping;
            run.responded_at = absl::InfiniteFuture();
            worker.health.record_stuck_run(now);
            log("run_stuck", task.job,
                {{"task", to_string(task)},
                 {"worker", id.value()},
                 {"percent", std::to_string(run.percent)},
                 {"unchanged_ms", std::to_string(absl::ToInt64Milliseconds(now - run.last_progress_at))}});
        }
    }
}

void job_scheduler::plan_throttles(absl::Time now, std::vector<worker_order>& orders) {
    for (auto& [id, worker] : workers_) {
        if (!worker.is_reachable) {
            continue;
        }
        double highest_latency_share = 0;
        for (const auto& [task, run] : worker.runs) {
            const absl::Duration target = run.traits.target_latency;
            if (run.phase == run_phase::running && target > absl::ZeroDuration()) {
                highest_latency_share =
                    std::max(highest_latency_share,
                             static_cast<double>(run.load) / absl::ToDoubleMilliseconds(target));
            }
        }
        for (auto& [task, run] : worker.runs) {
            if (run.phase != run_phase::running || !run.traits.fills_idle_processor) {
                continue;
            }
            int percent = run.speed_percent;
            if (highest_latency_share >= throttle_latency_share) {
                percent = 0;
            } else if (highest_latency_share < speed_up_latency_share &&
                       now - run.speed_changed_at >= speed_up_interval) {
                percent = std::min(100, percent + speed_up_step_percent);
            }
            percent = std::max(percent, 0);
            if (percent != run.speed_percent) {
                run.speed_percent = percent;
                run.speed_changed_at = now;
                orders.push_back({.kind = worker_order::order_kind::throttle,
                                  .worker = id,
                                  .task = task,
                                  .run = run.run,
                                  .speed_percent = percent,
                                  .worker_started_ms = worker.started_ms});
            }
        }
    }
}

void job_scheduler::add_worker_load(const worker_state& worker) {
    pool_load& load = loads_[worker.entry.pool];
    load.placed_resources += worker.reserved;
    load.placed_long_running_resources += worker.reserved_long_running;
}

std::vector<job_scheduler::candidate> job_scheduler::sorted_candidates(absl::Time now,
                                                                       absl::Duration wall_clock_offset) {
    std::vector<candidate> sorted = {};
    for (const job_id& id : waiting_jobs_) {
        tracked_job* const job = find(id);
        const queue_rules* const rules = rules_of(*job);
        if (rules == nullptr) {
            continue;
        }
        const job_specification& specification = job->specification();
        if (specification.is_timed()) {
            const absl::Time first_due = specification.first_due - wall_clock_offset;
            job->create_due_occurrences(first_due + occurrence_due_margin, now);
        }
        sorted.push_back({.job = job,
                          .rules = rules,
                          .is_long_running = specification.is_long_running(),
                          .timeliness = classify_timeliness(*job, *rules, now),
                          .remaining_core_seconds = job->remaining_core_seconds()});
    }
    std::sort(sorted.begin(), sorted.end(), [](const candidate& left, const candidate& right) {
        return left.sort_key() < right.sort_key();
    });
    return sorted;
}

void job_scheduler::plan_starts(absl::Time now, absl::Duration wall_clock_offset) {
    loads_.clear();
    workers_of_pool_.clear();
    unplaceable_demands_.clear();
    for (const auto& [pool, arrived] : arrivals_) {
        loads_[pool].arrived_core_seconds = arrived.core_seconds;
        loads_[pool].arrived_jobs = arrived.jobs;
    }
    for (auto& [id, worker] : workers_) {
        add_worker_load(worker);
        if (worker.accepts_tasks(now)) {
            workers_of_pool_[worker.entry.pool].push_back(&worker);
        }
    }
    for (const candidate& next : sorted_candidates(now, wall_clock_offset)) {
        // Occurrences of timed jobs become due without an event, so these jobs remain candidates.
        if (!place_job(next, now) && !next.job->specification().is_timed()) {
            waiting_jobs_.erase(next.job->id());
        }
    }
}

bool job_scheduler::place_job(const candidate& next, absl::Time now) {
    bool is_waiting = false;
    for (tracked_occurrence& occurrence : next.job->occurrences()) {
        if (!occurrence.is_due(now)) {
            continue;
        }
        for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
            if (!occurrence.steps[static_cast<std::size_t>(step)].is_done() &&
                next.job->is_step_ready(occurrence, step)) {
                is_waiting = place_step(next, occurrence, step, now) || is_waiting;
            }
        }
    }
    return is_waiting;
}

bool job_scheduler::place_step(const candidate& next, tracked_occurrence& occurrence, int step,
                               absl::Time now) {
    tracked_job& job = *next.job;
    if (!may_start(job)) {
        return true;
    }
    auto& tasks = occurrence.steps[static_cast<std::size_t>(step)].tasks;
    const job_step& specification = job.specification().steps[static_cast<std::size_t>(step)];
    const bool is_gang = specification.is_gang;
    std::vector<placement> pending = {};
    int unplaced = 0;
    int placed = 0;
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index) {
        const tracked_task& task = tasks[static_cast<std::size_t>(index)];
        if (task.phase != task_phase::waiting) {
            // The whole gang starts again together after the run of this task has ended.
            if (is_gang && task.phase == task_phase::placed) {
                return false;
            }
            continue;
        }
        const task_name name{.job = job.id(), .occurrence = occurrence.number, .step = step, .index = index};
        worker_state* const worker = unplaced > 0 && task.last_failed_worker.empty()
                                         ? nullptr
                                         : choose_worker(next, name, task, pending, now);
        if (worker == nullptr) {
            ++unplaced;
            continue;
        }
        if (is_gang) {
            pending.push_back({.worker = worker, .index = index});
            continue;
        }
        plan_start(*worker, job, name, job.next_run_number(task), now);
        ++placed;
    }
    if (is_gang && unplaced == 0) {
        run_number run = 0;
        for (const tracked_task& task : tasks) {
            run = std::max(run, job.next_run_number(task));
        }
        for (const placement& member : pending) {
            plan_start(
                *member.worker, job,
                {.job = job.id(), .occurrence = occurrence.number, .step = step, .index = member.index}, run,
                now);
            ++placed;
        }
    }
    if (placed > 0) {
        log("tasks_placed", job.id(),
            {{"step", std::to_string(step)},
             {"placed", std::to_string(placed)},
             {"without_room", std::to_string(unplaced)},
             {"waited_ms", std::to_string(absl::ToInt64Milliseconds(
                               now - std::max(*occurrence.due, job.job_origin().accepted_at)))},
             {"prospect", std::string(timeliness_name(next.timeliness))}});
    }
    pool_load& load = loads_[next.rules->pool];
    load.waiting_tasks += unplaced;
    const resource_amount needed = required_resources(specification);
    for (int count = 0; count < unplaced; ++count) {
        load.waiting_resources += needed;
    }
    load.waiting_core_seconds += unplaced * absl::ToDoubleSeconds(specification.estimate) *
                                 static_cast<double>(needed.cpu_millis) / millis_per_core;
    if (specification.maximum_per_worker > 0) {
        const int limit = specification.maximum_per_worker;
        load.additional_workers = std::max(load.additional_workers, (unplaced + limit - 1) / limit);
    }
    return unplaced > 0;
}

bool job_scheduler::is_known_unplaceable(const pool_name& pool, const job_step& step) const {
    const auto missing = unplaceable_demands_.find(pool);
    if (missing == unplaceable_demands_.end()) {
        return false;
    }
    const resource_amount needed = required_resources(step);
    return std::any_of(missing->second.begin(), missing->second.end(), [&](const unplaceable_demand& demand) {
        return demand.amount.fits_into(needed) &&
               (demand.label.empty() || demand.label == step.required_label);
    });
}

worker_state* job_scheduler::choose_worker(const candidate& next, const task_name& task,
                                           const tracked_task& state, const std::vector<placement>& pending,
                                           absl::Time /*now*/) {
    const job_step& step = next.job->step_of(task);
    const resource_amount needed = required_resources(step);
    if (is_known_unplaceable(next.rules->pool, step)) {
        return nullptr;
    }
    worker_state* best = nullptr;
    // Whether a failure to place this task also rules out other tasks, that is, depends only on its resources
    // and label.
    bool rules_out_others = pending.empty();
    std::tuple<bool, bool, bool, std::int64_t> best_key;
    for (worker_state* const worker : workers_of_pool_[next.rules->pool]) {
        resource_amount free_capacity = worker->free_capacity();
        int same_step = step.maximum_per_worker > 0 ? worker->run_count_of_step(task) : 0;
        for (const placement& member : pending) {
            if (member.worker == worker) {
                free_capacity -= needed;
                ++same_step;
            }
        }
        if (!needed.fits_into(free_capacity)) {
            continue;
        }
        if (worker->runs.contains(task)) {
            rules_out_others = false;
            continue;
        }
        if (!step.required_label.empty() && !worker->entry.has_label(step.required_label)) {
            continue;
        }
        if (step.maximum_per_worker > 0 && same_step >= step.maximum_per_worker) {
            rules_out_others = false;
            continue;
        }
        // Preference order: a worker other than the one where the task last failed, since a faulty worker
        // would use up the attempts of a sound job; for retries, a worker with a successful run since its
        // last failure; a rack that holds the input; the worker with the least free CPU, which keeps other
        // workers free for large tasks.
        const bool has_failed_here = worker->entry.id == state.last_failed_worker;
        const bool is_unproven_retry = !state.failed_runs.empty() && !worker->health.has_recent_success();
        const bool is_off_preferred_rack =
            !step.preferred_rack.empty() && !worker->entry.has_label(step.preferred_rack);
        const std::tuple key(has_failed_here, is_unproven_retry, is_off_preferred_rack,
                             free_capacity.cpu_millis);
        if (best == nullptr || key < best_key) {
            best = worker;
            best_key = key;
        }
    }
    if (best == nullptr && rules_out_others) {
        unplaceable_demands_[next.rules->pool].push_back({.amount = needed, .label = step.required_label});
    }
    return best;
}

void job_scheduler::plan_start(worker_state& worker, tracked_job& job, const task_name& name, run_number run,
                               absl::Time now) {
    job.find_task(name)->place(run);
    record_run_number(job, run);
    add_run(worker, name,
            {.run = run,
             .phase = run_phase::planned,
             .amount = required_resources(job.step_of(name)),
             .traits = traits_of(job.step_of(name)),
             .phase_since = now,
             .last_progress_at = now});
    planned_starts_.push_back({.worker = worker.entry.id, .task = name, .run = run});
    changed_jobs_.insert(job.id());
}

worker_order job_scheduler::make_start_order(const record_batch::planned_start& start) {
    tracked_job* const job = find(start.task.job);
    worker_state* const worker = find_worker(start.worker);
    worker->runs.at(start.task).phase = run_phase::starting;
    return {.kind = worker_order::order_kind::start,
            .worker = start.worker,
            .task = start.task,
            .run = start.run,
            .payload = job->specification().payload,
            .checkpoint = job->find_task(start.task)->checkpoint,
            .worker_started_ms = worker->started_ms};
}

bool job_scheduler::may_start(const tracked_job& job) const {
    if (!job.job_origin().is_inherited || is_recovered_) {
        return true;
    }
    if (!job.is_restored()) {
        return false;
    }
    const auto workers = job.inherited_workers();
    return std::all_of(workers.begin(), workers.end(), [this](const worker_id& id) {
        const auto worker = workers_.find(id);
        return worker == workers_.end() || worker->second.is_accounted_for();
    });
}

}  // namespace masticpass
