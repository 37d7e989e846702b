#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

#include "decision/jobs/job_scheduler.h"

namespace masticpass {

namespace {

// Occurrences start this much after their calendar time, which differs a little between machines.
constexpr absl::Duration due_margin = absl::Milliseconds(20);
// Serving tasks above this share of their target latency stop the tasks that fill idle processors beside
// them.
constexpr double pace_down_share = 0.8;
// Below this share the tasks that fill are let go on, one stage at a time.
constexpr double pace_up_share = 0.5;
constexpr int pace_stage_percent = 25;
// Workers report the tail of the last half second, so the effect of a stage shows after about that time.
constexpr absl::Duration pace_up_interval = absl::Seconds(1);
constexpr double millis_per_core = 1000.0;
// A stuck run is looked for among runs that should have moved by this share of their estimate.
constexpr int stuck_estimate_parts = 8;
// A job that takes longer than this many times its objective is of no use to its caller.
constexpr double late_objectives = 3;

// How much a job that waits can still be worth to its caller.
enum class job_prospect { on_time, late, too_late };

std::string_view name_of(job_prospect prospect) {
    switch (prospect) {
        case job_prospect::on_time:
            return "on-time";
        case job_prospect::late:
            return "late";
        case job_prospect::too_late:
            return "too-late";
    }
    return "too-late";
}

job_prospect prospect_of(const tracked_job& job, const queue_rules& rules, absl::Time now) {
    const absl::Duration objective = rules.stretch * job.longest_chain() + rules.target_latency;
    const absl::Duration age = now + job.remaining_chain() - job.from().accepted_at;
    if (age <= objective) {
        return job_prospect::on_time;
    }
    return age <= late_objectives * objective ? job_prospect::late : job_prospect::too_late;
}

}  // namespace

// A job with tasks that wait, in the order in which jobs are served: lasting jobs, which are few and must
// come back at once; then by the queue's priority; then jobs that can still end on time, those that can only
// be late, and those that are later than callers have use for; among equals the one with the least work left.
// Answers the load pattern of a queue that asks several times what its pool holds: an order by age or
// deadline then serves jobs that are late already, and makes all that follow late too. Jobs that are too late
// are served from what is left, and none is refused.
struct job_scheduler::candidate {
    tracked_job* job = nullptr;
    const queue_rules* rules = nullptr;
    bool is_lasting = false;
    job_prospect prospect = job_prospect::on_time;
    double work_left = 0;

    auto key() const {
        return std::tuple(!is_lasting, rules->priority, prospect, work_left, job->from().order);
    }
};

// A member of a gang that was placed but not ordered yet.
struct job_scheduler::placement {
    worker_state* worker = nullptr;
    int index = 0;
};

std::vector<worker_order> job_scheduler::plan(absl::Time now, absl::Duration calendar_offset) {
    std::vector<worker_order> orders = {};
    stop_stuck_runs(now);
    plan_stops(now, orders);
    plan_paces(now, orders);
    plan_starts(now, calendar_offset);
    return orders;
}

void job_scheduler::plan_stops(absl::Time now, std::vector<worker_order>& orders) {
    for (auto& [id, worker] : workers_) {
        if (worker.entry.is_draining && worker.is_reachable) {
            evict_lasting(id, now);
        }
        for (auto& [task, run] : worker.runs) {
            const bool must_send = run.phase == run_phase::stopping && !run.is_stop_sent &&
                                   run.answered_at == absl::InfiniteFuture() && worker.is_reachable &&
                                   now >= run.next_stop_at;
            if (!must_send) {
                continue;
            }
            run.is_stop_sent = true;
            orders.push_back(
                {.kind = worker_order::order_kind::stop, .worker = id, .task = task, .run = run.run});
        }
    }
}

void job_scheduler::stop_stuck_runs(absl::Time now) {
    for (auto& [id, worker] : workers_) {
        if (!worker.is_reachable) {
            continue;
        }
        for (auto& [task, run] : worker.runs) {
            const absl::Duration limit =
                std::max(options_.stuck_after, run.traits.estimate / stuck_estimate_parts);
            if (run.phase != run_phase::running || run.traits.is_long_running || run.traits.is_gang ||
                now - run.last_progress_at < limit) {
                continue;
            }
            run.phase = run_phase::stopping;
            run.answered_at = absl::InfiniteFuture();
            worker.health.record_stuck_run(now);
            log("run_stuck", task.job,
                {{"task", to_string(task)},
                 {"worker", id.value()},
                 {"percent", std::to_string(run.percent)},
                 {"unchanged_ms", std::to_string(absl::ToInt64Milliseconds(now - run.last_progress_at))}});
        }
    }
}

void job_scheduler::plan_paces(absl::Time now, std::vector<worker_order>& orders) {
    for (auto& [id, worker] : workers_) {
        if (!worker.is_reachable) {
            continue;
        }
        double worst = 0;
        for (const auto& [task, run] : worker.runs) {
            const absl::Duration target = run.traits.target_latency;
            if (run.phase == run_phase::running && target > absl::ZeroDuration()) {
                worst = std::max(worst, static_cast<double>(run.load) / absl::ToDoubleMilliseconds(target));
            }
        }
        for (auto& [task, run] : worker.runs) {
            if (run.phase != run_phase::running || !run.traits.fills_idle_processor) {
                continue;
            }
            int percent = run.speed_percent;
            if (worst >= pace_down_share) {
                percent = 0;
            } else if (worst < pace_up_share && now - run.speed_changed_at >= pace_up_interval) {
                percent = std::min(100, percent + pace_stage_percent);
            }
            percent = std::max(percent, 0);
            if (percent != run.speed_percent) {
                run.speed_percent = percent;
                run.speed_changed_at = now;
                orders.push_back({.kind = worker_order::order_kind::pace,
                                  .worker = id,
                                  .task = task,
                                  .run = run.run,
                                  .percent = percent});
            }
        }
    }
}

void job_scheduler::add_placed(const worker_state& worker) {
    pool_load& load = loads_[worker.entry.pool];
    load.placed += worker.reserved;
    load.placed_lasting += worker.reserved_long_running;
}

std::vector<job_scheduler::candidate> job_scheduler::candidates(absl::Time now,
                                                                absl::Duration calendar_offset) {
    std::vector<candidate> found = {};
    for (const job_id& id : waiting_jobs_) {
        tracked_job* const job = find(id);
        const queue_rules* const rules = rules_of(*job);
        if (rules == nullptr) {
            continue;
        }
        const job_specification& specification = job->specification();
        if (specification.is_timed()) {
            const absl::Time first_due = specification.first_due - calendar_offset;
            job->open_occurrences(first_due + due_margin, now);
        }
        found.push_back({.job = job,
                         .rules = rules,
                         .is_lasting = specification.is_lasting(),
                         .prospect = prospect_of(*job, *rules, now),
                         .work_left = job->remaining_core_seconds()});
    }
    std::sort(found.begin(), found.end(),
              [](const candidate& left, const candidate& right) { return left.key() < right.key(); });
    return found;
}

void job_scheduler::plan_starts(absl::Time now, absl::Duration calendar_offset) {
    loads_.clear();
    workers_of_pool_.clear();
    missing_rooms_.clear();
    for (const auto& [pool, arrived] : arrivals_) {
        loads_[pool].arrived_core_seconds = arrived.core_seconds;
        loads_[pool].arrived_jobs = arrived.jobs;
    }
    for (auto& [id, worker] : workers_) {
        add_placed(worker);
        if (worker.accepts_tasks(now)) {
            workers_of_pool_[worker.entry.pool].push_back(&worker);
        }
    }
    for (const candidate& next : candidates(now, calendar_offset)) {
        // Occurrences of timed jobs become due without a call, so these stay.
        if (!place_job(next, now) && !next.job->specification().is_timed()) {
            waiting_jobs_.erase(next.job->id());
        }
    }
}

bool job_scheduler::place_job(const candidate& next, absl::Time now) {
    bool is_waiting = false;
    for (tracked_occurrence& occurrence : next.job->occurrences()) {
        for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
            if (!occurrence.steps[static_cast<std::size_t>(step)].is_done() &&
                next.job->is_step_open(occurrence, step)) {
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
            // The others of the gang start with it, when its run has ended.
            if (is_gang && task.phase == task_phase::placed) {
                return false;
            }
            continue;
        }
        const task_name name{.job = job.id(), .occurrence = occurrence.number, .step = step, .index = index};
        worker_state* const worker = unplaced > 0 && task.last_failed_on.empty()
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
        plan_start(*worker, job, name, job.next_run(task), now);
        ++placed;
    }
    if (is_gang && unplaced == 0) {
        run_number run = 0;
        for (const tracked_task& task : tasks) {
            run = std::max(run, job.next_run(task));
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
                               now - std::max(occurrence.due, job.from().accepted_at)))},
             {"prospect", std::string(name_of(next.prospect))}});
    }
    pool_load& load = loads_[next.rules->pool];
    load.waiting_tasks += unplaced;
    const resource_amount needed = room_needed(specification);
    for (int count = 0; count < unplaced; ++count) {
        load.waiting += needed;
    }
    load.waiting_core_seconds += unplaced * absl::ToDoubleSeconds(specification.estimate) *
                                 static_cast<double>(needed.cpu_millis) / millis_per_core;
    if (specification.maximum_per_worker > 0) {
        const int limit = specification.maximum_per_worker;
        load.waiting_workers = std::max(load.waiting_workers, (unplaced + limit - 1) / limit);
    }
    return unplaced > 0;
}

bool job_scheduler::is_known_not_to_fit(const pool_name& pool, const job_step& step) const {
    const auto missing = missing_rooms_.find(pool);
    if (missing == missing_rooms_.end()) {
        return false;
    }
    const resource_amount needed = room_needed(step);
    return std::any_of(missing->second.begin(), missing->second.end(), [&](const missing_room& room) {
        return room.amount.fits_into(needed) && (room.label.empty() || room.label == step.required_label);
    });
}

worker_state* job_scheduler::choose_worker(const candidate& next, const task_name& task,
                                           const tracked_task& state, const std::vector<placement>& pending,
                                           absl::Time /*now*/) {
    const job_step& step = next.job->step_of(task);
    const resource_amount needed = room_needed(step);
    if (is_known_not_to_fit(next.rules->pool, step)) {
        return nullptr;
    }
    worker_state* best = nullptr;
    // A failure of this task says nothing of others if it depends on more than its room and label.
    bool is_general = pending.empty();
    std::tuple<bool, bool, bool, std::int64_t> best_key;
    for (worker_state* const worker : workers_of_pool_[next.rules->pool]) {
        resource_amount room = worker->free_capacity();
        int same_step = step.maximum_per_worker > 0 ? worker->run_count_of_step(task) : 0;
        for (const placement& member : pending) {
            if (member.worker == worker) {
                room -= needed;
                ++same_step;
            }
        }
        if (!needed.fits_into(room)) {
            continue;
        }
        if (worker->runs.contains(task)) {
            is_general = false;
            continue;
        }
        if (!step.required_label.empty() && !worker->entry.has_label(step.required_label)) {
            continue;
        }
        if (step.maximum_per_worker > 0 && same_step >= step.maximum_per_worker) {
            is_general = false;
            continue;
        }
        // A second attempt on the worker that failed the first would spend the attempts of a job that can be
        // done. Racks with the input come next, and then the fullest worker, which keeps others free.
        const bool has_failed_there = worker->entry.id == state.last_failed_on;
        const bool is_doubtful = !state.failed_runs.empty() && !worker->health.has_recent_success();
        const bool is_far = !step.preferred_rack.empty() && !worker->entry.has_label(step.preferred_rack);
        const std::tuple key(has_failed_there, is_doubtful, is_far, room.cpu_millis);
        if (best == nullptr || key < best_key) {
            best = worker;
            best_key = key;
        }
    }
    if (best == nullptr && is_general) {
        missing_rooms_[next.rules->pool].push_back({.amount = needed, .label = step.required_label});
    }
    return best;
}

void job_scheduler::plan_start(worker_state& worker, tracked_job& job, const task_name& name, run_number run,
                               absl::Time now) {
    tracked_task* const task = job.find(name);
    task->phase = task_phase::placed;
    task->last_run = run;
    task->worker = worker.entry.id;
    task->since = now;
    task->is_at_work = false;
    add_run(worker, name,
            {.run = run,
             .phase = run_phase::planned,
             .amount = room_needed(job.step_of(name)),
             .traits = traits_of(job.step_of(name)),
             .phase_since = now,
             .last_progress_at = now});
    planned_starts_.push_back({.worker = worker.entry.id, .task = name, .run = run});
    changed_jobs_.insert(job.id());
}

worker_order job_scheduler::order_start(const record_batch::planned_start& start) {
    tracked_job* const job = find(start.task.job);
    worker_state* const worker = find_worker(start.worker);
    worker->runs.at(start.task).phase = run_phase::starting;
    return {.kind = worker_order::order_kind::start,
            .worker = start.worker,
            .task = start.task,
            .run = start.run,
            .payload = job->specification().payload,
            .checkpoint = job->find(start.task)->checkpoint};
}

bool job_scheduler::may_start(const tracked_job& job) const {
    if (!job.from().is_inherited || is_recovered_) {
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
