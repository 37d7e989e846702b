// What reports of workers, and their silence, mean for tasks.

#include <algorithm>
#include <limits>

#include "decision/jobs/job_scheduler.h"

namespace masticpass {

void job_scheduler::begin_life(worker_state& worker, std::int64_t born_ms, absl::Time now) {
    if (worker.started_ms == born_ms) {
        return;
    }
    const bool is_first = worker.started_ms == 0;
    // The directory may be older than the last report.
    if (born_ms < worker.started_ms) {
        return;
    }
    worker.started_ms = born_ms;
    if (is_first) {
        return;
    }
    // The list of VMs showed an earlier life as over.
    worker.is_terminated = false;
    worker.known_since = now;
    worker.is_synced = false;
    worker.is_reachable = false;
    worker.last_processed_end = 0;
    worker.last_stored_end = 0;
    std::vector<task_name> lost;
    for (auto& [task, run] : worker.runs) {
        if (run.phase == run_phase::starting ||
            (run.phase == run_phase::stopping && run.answered_at == absl::InfiniteFuture())) {
            // The new life may carry the order out; it must be barred there.
            run.phase = run_phase::stopping;
            run.is_stop_sent = false;
            continue;
        }
        lost.push_back(task);
    }
    for (const task_name& task : lost) {
        release(worker, task, "worker-restarted", now);
    }
}

void job_scheduler::release(worker_state& worker, const task_name& task, std::string_view reason,
                            absl::Time now) {
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end()) {
        return;
    }
    const run_number run = found->second.run;
    remove_run(worker, task);
    if (worker.runs.empty()) {
        worker.idle_since = now;
    }
    tracked_job* const job = find(task.job);
    if (job == nullptr || job->is_final()) {
        return;
    }
    log("run_lost", task.job,
        {{"task", to_string(task)},
         {"run", std::to_string(run)},
         {"worker", worker.entry.id.value()},
         {"reason", std::string(reason)}});
    free_task(task, run, now);
}

void job_scheduler::free_task(const task_name& task, run_number run, absl::Time now) {
    tracked_job* const job = find(task.job);
    tracked_task* const state = job == nullptr || job->is_final() ? nullptr : job->find(task);
    if (state == nullptr || state->phase != task_phase::placed || state->last_run != run) {
        return;
    }
    state->phase = task_phase::waiting;
    waiting_jobs_.insert(task.job);
    state->is_at_work = false;
    state->since = now;
}

bool job_scheduler::note_report(const worker_id& id, const worker_report& report, absl::Time sent_at,
                                absl::Time now) {
    worker_state* const worker = find_worker(id);
    if (worker == nullptr || worker->is_terminated) {
        return false;
    }
    if (report.born_ms != 0) {
        begin_life(*worker, report.born_ms, now);
    }
    const bool was_open = worker->is_reachable && worker->is_synced;
    worker->is_reachable = true;
    worker->is_synced = true;
    worker->is_lease_expired = false;
    for (const listed_end& end : report.ended) {
        if (end.number > worker->last_processed_end) {
            worker->last_processed_end = end.number;
            note_end(*worker, end, now);
        }
    }
    for (const listed_run& run : report.running) {
        note_running(*worker, run, sent_at, now);
    }
    const bool was_any_absent = resolve_absent(*worker, report, sent_at, now);
    if (!worker->runs.empty()) {
        worker->idle_since = now;
    }
    return !was_open || was_any_absent || !report.ended.empty();
}

void job_scheduler::note_running(worker_state& worker, const listed_run& run, absl::Time sent_at,
                                 absl::Time now) {
    tracked_job* const job = find(run.task.job);
    tracked_task* const task = job == nullptr || job->is_final() ? nullptr : job->find(run.task);
    auto known = worker.runs.find(run.task);
    if (known == worker.runs.end()) {
        placed_run adopted{
            .run = run.run, .phase = run_phase::stopping, .phase_since = now, .answered_at = sent_at};
        if (task != nullptr) {
            adopted.amount = room_needed(job->step_of(run.task));
            adopted.traits = traits_of(job->step_of(run.task));
        }
        if (task != nullptr && task->phase == task_phase::waiting && run.run >= task->last_run) {
            adopted.phase = run_phase::running;
            adopted.last_progress_at = now;
            task->phase = task_phase::placed;
            task->since = now;
            task->worker = worker.entry.id;
            task->last_run = run.run;
            if (job->note_started()) {
                changed_jobs_.insert(job->id());
            }
        } else {
            adopted.answered_at = absl::InfiniteFuture();
        }
        log("run_found", run.task.job,
            {{"task", to_string(run.task)},
             {"run", std::to_string(run.run)},
             {"worker", worker.entry.id.value()},
             {"decision", adopted.phase == run_phase::running ? "adopted" : "stopped"}});
        add_run(worker, run.task, adopted);
        known = worker.runs.find(run.task);
    }
    placed_run& placed = known->second;
    if (placed.run != run.run) {
        return;
    }
    placed.listed_at = sent_at;
    if (placed.phase == run_phase::starting) {
        placed.phase = run_phase::running;
        placed.answered_at = now;
        note_begun(run.task.job);
    }
    if (placed.percent != run.percent) {
        placed.percent = run.percent;
        placed.last_progress_at = now;
    }
    placed.load = run.load;
    if (task == nullptr || task->last_run != run.run || task->phase != task_phase::placed) {
        return;
    }
    if (!run.checkpoint.empty()) {
        task->checkpoint = run.checkpoint;
    }
    task->is_at_work = run.percent >= 100 && placed.phase == run_phase::running;
}

void job_scheduler::note_end(worker_state& worker, const listed_end& end, absl::Time now) {
    const auto placed = worker.runs.find(end.task);
    if (placed != worker.runs.end() && placed->second.run <= end.run) {
        remove_run(worker, end.task);
    }
    tracked_job* const job = find(end.task.job);
    tracked_task* const task = job == nullptr || job->is_final() ? nullptr : job->find(end.task);
    if (task == nullptr || task->phase == task_phase::done) {
        return;
    }
    const job_step& step = job->step_of(end.task);
    if (!end.checkpoint.empty() && end.run >= task->last_run) {
        task->checkpoint = end.checkpoint;
    }
    if (end.end == run_end::done && !step.is_lasting) {
        worker.health.record_success();
        task_name member = end.task;
        const int members = step.is_gang ? step.count : 1;
        for (int index = 0; index < members; ++index) {
            member.index = step.is_gang ? index : end.task.index;
            job->note_done(member);
        }
        if (!step.is_gang) {
            stop_other_runs(end.task);
        }
        finish_if_ended(*job);
        return;
    }
    if (end.end == run_end::failed) {
        task->last_failed_on = worker.entry.id;
        const bool is_rested = worker.health.record_failure(end.task.job, now);
        task_name counted = end.task;
        counted.index = step.is_gang ? 0 : counted.index;
        const queue_rules* const rules = rules_of(*job);
        // Without the queue's rules the limit is not known, and a job must not end too early.
        const int max_attempts = rules == nullptr ? std::numeric_limits<int>::max() : rules->max_attempts;
        if (job->note_failed(counted, end.run, max_attempts)) {
            changed_jobs_.insert(job->id());
        }
        log("run_failed", end.task.job,
            {{"task", to_string(end.task)},
             {"run", std::to_string(end.run)},
             {"worker", worker.entry.id.value()},
             {"worker_rested", is_rested ? "true" : "false"}});
    } else if (end.end != run_end::stopped) {
        log("run_ended", end.task.job,
            {{"task", to_string(end.task)},
             {"run", std::to_string(end.run)},
             {"worker", worker.entry.id.value()},
             {"how", std::string(to_string(end.end))}});
    }
    if (job->is_final()) {
        finish_if_ended(*job);
        return;
    }
    task->last_run = std::max(task->last_run, end.run);
    free_task(end.task, end.run, now);
}

bool job_scheduler::resolve_absent(worker_state& worker, const worker_report& report, absl::Time sent_at,
                                   absl::Time now) {
    if (report.is_partial) {
        return false;
    }
    std::vector<std::pair<task_name, std::string_view>> absent;
    for (const auto& [task, run] : worker.runs) {
        if (run.answered_at < sent_at && run.listed_at != sent_at) {
            absent.emplace_back(task, run.phase == run_phase::stopping ? "stopped" : "not-listed");
        }
    }
    for (const auto& [task, reason] : absent) {
        release(worker, task, reason, now);
    }
    return !absent.empty();
}

void job_scheduler::note_begun(const job_id& id) {
    tracked_job* const job = find(id);
    if (job != nullptr && job->note_started()) {
        changed_jobs_.insert(id);
    }
}

void job_scheduler::note_unreachable(const worker_id& id) {
    if (worker_state* const worker = find_worker(id)) {
        worker->is_reachable = false;
    }
}

void job_scheduler::note_lapsed(const worker_id& id, absl::Time now) {
    worker_state* const worker = find_worker(id);
    if (worker == nullptr) {
        return;
    }
    worker->is_reachable = false;
    worker->is_lease_expired = true;
    release_all(*worker, "lease-ended", now);
}

void job_scheduler::note_gone(const worker_id& id, absl::Time now) {
    worker_state* const worker = find_worker(id);
    if (worker == nullptr || worker->is_terminated) {
        return;
    }
    worker->is_terminated = true;
    worker->is_reachable = false;
    release_all(*worker, "worker-gone", now);
}

void job_scheduler::release_all(worker_state& worker, std::string_view reason, absl::Time now) {
    while (!worker.runs.empty()) {
        // A copy, since the run is removed while the name is still needed.
        const task_name task = worker.runs.begin()->first;
        release(worker, task, reason, now);
    }
}

}  // namespace masticpass
