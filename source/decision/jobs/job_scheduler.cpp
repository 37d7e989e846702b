#include "decision/jobs/job_scheduler.h"

#include <algorithm>

namespace masticpass {

namespace {

// Differs from every speed that a throttle order can set.
constexpr int unknown_speed_percent = -1;
// Number of long-running tasks that evictions may make unavailable at once in a step that sets no limit.
constexpr int default_maximum_unavailable = 1;

const tracked_task* task_of(tracked_job* job, const task_name& name) {
    return job == nullptr || job->is_final() ? nullptr : job->find_task(name);
}

}  // namespace

std::string_view to_string(start_outcome outcome) {
    switch (outcome) {
        case start_outcome::accepted:
            return "accepted";
        case start_outcome::not_sent:
            return "not-sent";
        case start_outcome::insufficient_capacity:
            return "no-room";
        case start_outcome::unhealthy:
            return "unhealthy";
        case start_outcome::refused:
            return "refused";
        case start_outcome::unknown:
            return "unknown";
    }
    return "unknown";
}

worker_state* job_scheduler::find_worker(const worker_id& worker) {
    const auto found = workers_.find(worker);
    return found == workers_.end() ? nullptr : &found->second;
}

tracked_job* job_scheduler::find(const job_id& id) {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

const tracked_job* job_scheduler::find_job(const job_id& id) const {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

const queue_rules* job_scheduler::rules_of(const tracked_job& job) const {
    const auto found = queues_.find(job.job_origin().queue);
    return found == queues_.end() ? nullptr : &found->second;
}

void job_scheduler::log(std::string_view event, const job_id& job,
                        std::vector<std::pair<std::string_view, std::string>> fields) {
    events_.push_back({.name = event, .job = job, .fields = std::move(fields)});
}

void job_scheduler::set_rules(std::span<const queue_rules> queues, std::span<const worker_pool_rules> pools) {
    // The rules of a queue that was dropped are kept for the jobs that it accepted.
    for (const queue_rules& queue : queues) {
        queues_[queue.name] = queue;
    }
    for (const worker_pool_rules& pool : pools) {
        pools_[pool.name] = pool;
    }
}

std::vector<worker_id> job_scheduler::set_workers(std::span<const worker_entry> entries, absl::Time now) {
    for (auto& [id, worker] : workers_) {
        worker.is_listed = false;
    }
    for (const worker_entry& entry : entries) {
        worker_state& worker = workers_[entry.id];
        if (worker.entry.id.empty()) {
            worker.idle_since = now;
            worker.known_since = now;
        }
        if (worker.is_terminated && entry.started_ms > worker.entry.started_ms) {
            // The next response names the incarnation. The entry may be of another writer.
            begin_incarnation(worker, 0, now);
        }
        worker.entry = entry;
        worker.is_listed = true;
    }
    std::vector<worker_id> forgotten;
    for (auto worker = workers_.begin(); worker != workers_.end();) {
        const worker_state& state = worker->second;
        const bool is_needed = state.is_listed || !state.runs.empty() ||
                               (state.is_reachable && state.last_stored_end < state.last_processed_end) ||
                               (!is_recovered_ && !state.is_accounted_for());
        if (is_needed) {
            ++worker;
            continue;
        }
        forgotten.push_back(worker->first);
        worker = workers_.erase(worker);
    }
    return forgotten;
}

void job_scheduler::add_inherited_workers(std::span<const worker_entry> entries) {
    for (const worker_entry& entry : entries) {
        worker_state& worker = workers_[entry.id];
        worker.entry = entry;
        worker.is_listed = false;
        worker.known_since = absl::InfinitePast();
    }
}

void job_scheduler::add_job(const job_id& id, accepted_job job, tracked_job::origin job_origin,
                            const job_record* record) {
    if (jobs_.contains(id)) {
        return;
    }
    if (job_origin.is_inherited) {
        job_origin.first_run_number = options_.first_inherited_run_number;
    }
    job_origin.queue = job.queue;
    auto tracked = std::make_unique<tracked_job>(id, std::move(job.specification), std::move(job_origin));
    if (record != nullptr) {
        tracked->restore(*record);
    }
    if (tracked->is_final()) {
        tracked->discard_details();
    } else {
        active_jobs_.insert(id);
        waiting_jobs_.insert(id);
        const queue_rules* const rules = rules_of(*tracked);
        if (rules != nullptr && !tracked->specification().is_long_running()) {
            arrivals& arrived = arrivals_[rules->pool];
            arrived.core_seconds += tracked->remaining_core_seconds();
            ++arrived.jobs;
        }
    }
    jobs_.emplace(id, std::move(tracked));
}

void job_scheduler::cancel_job(const job_id& id) {
    tracked_job* const job = find(id);
    if (job == nullptr || job->is_final()) {
        return;
    }
    job->finish(job_phase::cancelled);
    process_job_change(*job);
}

void job_scheduler::process_job_change(tracked_job& job) {
    changed_jobs_.insert(job.id());
    // The next step may be ready now.
    waiting_jobs_.insert(job.id());
    if (!job.is_final()) {
        return;
    }
    waiting_jobs_.erase(job.id());
    if (!active_jobs_.erase(job.id())) {
        return;
    }
    stop_runs_of(job);
    log("job_ended", job.id(),
        {{"phase", std::string(to_string(job.phase()))}, {"queue", job.job_origin().queue.value()}});
    job.discard_details();
}

void job_scheduler::stop_run(worker_state& worker, const task_name& task) {
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end() || found->second.phase == run_phase::stopping) {
        return;
    }
    if (found->second.phase == run_phase::planned) {
        remove_run(worker, task);
        return;
    }
    found->second.phase = run_phase::stopping;
    found->second.responded_at = absl::InfiniteFuture();
}

void job_scheduler::stop_runs_of(const tracked_job& job) {
    for (const worker_id& id : locations_.workers_of(job.id())) {
        worker_state& worker = workers_.at(id);
        std::vector<task_name> tasks;
        for (auto run = worker.runs.lower_bound({.job = job.id()});
             run != worker.runs.end() && run->first.job == job.id(); ++run) {
            tasks.push_back(run->first);
        }
        for (const task_name& task : tasks) {
            stop_run(worker, task);
        }
    }
}

void job_scheduler::stop_other_runs(const task_name& task) {
    for (const worker_id& id : locations_.workers_of(task.job)) {
        stop_run(workers_.at(id), task);
    }
}

std::string job_scheduler::record_of(const tracked_job& job) const {
    job_record record = job.record();
    record.workers = locations_.workers_of(job.id());
    for (const worker_id& id : job.inherited_workers()) {
        const auto worker = workers_.find(id);
        const bool may_have_runs = worker != workers_.end() && !worker->second.is_accounted_for();
        if (may_have_runs && !is_recovered_) {
            record.workers.push_back(id);
        }
    }
    return write_job_record(record);
}

void job_scheduler::add_run(worker_state& worker, const task_name& task, const placed_run& run) {
    remove_run(worker, task);
    worker.add_run(task, run);
    locations_.add(task.job, worker.entry.id);
}

void job_scheduler::remove_run(worker_state& worker, const task_name& task) {
    if (worker.remove_run(task)) {
        locations_.remove(task.job, worker.entry.id);
    }
}

void job_scheduler::finish_recovery(absl::Time /*now*/) {
    is_recovered_ = true;
}

bool job_scheduler::can_finish_recovery(bool have_earlier_leases_expired) const {
    return std::all_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
        const worker_state& worker = entry.second;
        return worker.is_accounted_for() || (have_earlier_leases_expired && !worker.has_unlisted_ends());
    });
}

placed_run* job_scheduler::find_run(const worker_order& order) {
    worker_state* const worker = find_worker(order.worker);
    if (worker == nullptr) {
        return nullptr;
    }
    const auto found = worker->runs.find(order.task);
    return found == worker->runs.end() || found->second.run != order.run ? nullptr : &found->second;
}

bool job_scheduler::is_wanted(const worker_order& order) {
    const placed_run* const run = find_run(order);
    if (run == nullptr) {
        return false;
    }
    switch (order.kind) {
        case worker_order::order_kind::start:
            return run->phase == run_phase::starting;
        case worker_order::order_kind::throttle:
            return run->phase == run_phase::running;
        case worker_order::order_kind::stop:
            break;
    }
    tracked_job* const job = find(order.task.job);
    const bool is_eviction = run->is_evicted && task_of(job, order.task) != nullptr;
    return !is_eviction || may_evict(*job, order.task);
}

void job_scheduler::handle_start_outcome(const worker_order& order, start_outcome outcome, absl::Time now,
                                         std::int64_t started_ms) {
    worker_state* const worker = find_worker(order.worker);
    placed_run* const accepted = outcome == start_outcome::accepted ? find_run(order) : nullptr;
    if (accepted != nullptr) {
        // Set first, so that the run outlasts the restart that this response may show.
        accepted->worker_started_ms = std::max(accepted->worker_started_ms, started_ms);
    }
    if (worker == nullptr || !admit_response(*worker, started_ms, now)) {
        return;
    }
    placed_run* const found = find_run(order);
    if (found == nullptr) {
        return;
    }
    placed_run& run = *found;
    if (outcome == start_outcome::accepted) {
        if (run.phase == run_phase::starting) {
            run.phase = run_phase::running;
            run.responded_at = now;
            run.last_progress_at = now;
        }
        if (order.worker_started_ms != worker->started_ms) {
            log("start_accepted_after_restart", order.task.job,
                {{"task", to_string(order.task)},
                 {"run", std::to_string(order.run)},
                 {"worker", order.worker.value()},
                 {"worker_started_ms", std::to_string(worker->started_ms)}});
        }
        record_task_started(order.task.job);
        return;
    }
    log("start_refused", order.task.job,
        {{"task", to_string(order.task)},
         {"run", std::to_string(order.run)},
         {"worker", order.worker.value()},
         {"worker_started_ms", std::to_string(worker->started_ms)},
         {"outcome", std::string(to_string(outcome))}});
    if (outcome != start_outcome::not_sent) {
        worker->health.record_refusal(now);
    }
    if (outcome == start_outcome::unknown) {
        if (run.phase == run_phase::starting) {
            run.phase = run_phase::stopping;
        }
        return;
    }
    if (run.phase == run_phase::running) {
        return;
    }
    remove_run(*worker, order.task);
    return_to_waiting(order.task, order.run);
}

void job_scheduler::handle_stop_response(const worker_order& order, bool is_confirmed, absl::Time now,
                                         std::int64_t started_ms) {
    worker_state* const worker = find_worker(order.worker);
    if (worker == nullptr || !admit_response(*worker, started_ms, now)) {
        return;
    }
    placed_run* const run = find_run(order);
    if (run == nullptr) {
        return;
    }
    // A response that names no incarnation may be of the one for which the order was planned.
    const bool may_be_outdated = started_ms == 0 && order.worker_started_ms != worker->started_ms;
    run->is_stop_sent = is_confirmed && !may_be_outdated;
    run->next_stop_at = now + options_.stop_retry_interval;
    if (run->is_stop_sent) {
        run->responded_at = now;
    }
}

void job_scheduler::handle_throttle_response(const worker_order& order, bool is_confirmed, absl::Time now,
                                             std::int64_t started_ms) {
    worker_state* const worker = find_worker(order.worker);
    if (worker == nullptr || !admit_response(*worker, started_ms, now)) {
        return;
    }
    placed_run* const run = find_run(order);
    if (run != nullptr && !is_confirmed) {
        // Whether the order took effect is not known, so the next plan sends it again.
        run->speed_percent = unknown_speed_percent;
    }
}

void job_scheduler::set_cordoned(const worker_id& id, bool is_cordoned) {
    if (worker_state* const worker = find_worker(id)) {
        worker->is_cordoned = is_cordoned;
    }
}

bool job_scheduler::may_evict(tracked_job& job, const task_name& task) {
    const job_step& step = job.step_of(task);
    int unavailable = 0;
    for (int index = 0; index < step.task_count; ++index) {
        const tracked_task* const other = job.find_task(
            {.job = task.job, .occurrence = task.occurrence, .step = task.step, .index = index});
        unavailable += index != task.index && !other->is_ready ? 1 : 0;
    }
    return unavailable < step.maximum_unavailable.value_or(default_maximum_unavailable);
}

bool job_scheduler::evict_long_running_tasks(const worker_id& id, absl::Time now) {
    worker_state* const worker = find_worker(id);
    if (worker == nullptr) {
        return false;
    }
    bool evicted = false;
    for (auto& [task, run] : worker->runs) {
        tracked_job* const job = find(task.job);
        if (run.phase != run_phase::running || task_of(job, task) == nullptr) {
            continue;
        }
        if (!job->step_of(task).is_long_running) {
            continue;
        }
        if (!may_evict(*job, task)) {
            continue;
        }
        job->find_task(task)->is_ready = false;
        run.is_evicted = true;
        run.phase = run_phase::stopping;
        run.responded_at = absl::InfiniteFuture();
        run.phase_since = now;
        evicted = true;
        log("run_evicted", task.job, {{"task", to_string(task)}, {"worker", id.value()}});
    }
    return evicted;
}

void job_scheduler::evict_finite_tasks(const worker_id& id) {
    worker_state* const worker = find_worker(id);
    if (worker == nullptr) {
        return;
    }
    for (auto& [task, run] : worker->runs) {
        tracked_job* const job = find(task.job);
        if (run.phase != run_phase::running || task_of(job, task) == nullptr ||
            job->step_of(task).is_long_running) {
            continue;
        }
        run.phase = run_phase::stopping;
        run.responded_at = absl::InfiniteFuture();
        log("run_evicted", task.job, {{"task", to_string(task)}, {"worker", id.value()}});
    }
}

}  // namespace masticpass
