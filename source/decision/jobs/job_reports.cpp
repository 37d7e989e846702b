// Processing of worker reports, unreachable workers and terminated workers.

#include <algorithm>
#include <limits>

#include "decision/jobs/job_scheduler.h"

namespace masticpass {

bool job_scheduler::admit_response(worker_state& worker, std::int64_t started_ms, absl::Time now) {
    if (started_ms == 0 || started_ms == worker.started_ms) {
        return true;
    }
    if (started_ms < worker.started_ms) {
        return false;
    }
    const bool is_first = worker.started_ms == 0;
    if (is_first) {
        worker.started_ms = started_ms;
    } else {
        begin_incarnation(worker, started_ms, now);
    }
    return true;
}

void job_scheduler::begin_incarnation(worker_state& worker, std::int64_t started_ms, absl::Time now) {
    worker.started_ms = started_ms;
    // The termination that the list of VMs showed was of an earlier incarnation.
    worker.is_terminated = false;
    worker.known_since = now;
    worker.coverage.reset();
    worker.is_reachable = false;
    worker.last_processed_end = 0;
    worker.last_stored_end = 0;
    release_runs_of_earlier_incarnation(worker, now);
}

void job_scheduler::release_runs_of_earlier_incarnation(worker_state& worker, absl::Time now) {
    std::vector<task_name> lost;
    for (auto& [task, run] : worker.runs) {
        const bool is_incarnation_known = run.worker_started_ms != 0;
        if (is_incarnation_known && run.worker_started_ms == worker.started_ms) {
            continue;
        }
        if (is_incarnation_known || run.phase == run_phase::planned) {
            lost.push_back(task);
        } else if (run.phase != run_phase::running) {
            // The new incarnation may still execute the start order, so a stop must be sent to prevent that.
            run.phase = run_phase::stopping;
            run.is_stop_sent = false;
            run.next_stop_at = absl::InfinitePast();
            run.responded_at = absl::InfiniteFuture();
        }
        // A run that was accepted by a response without a start time may be on either incarnation. The next
        // report shows whether it is on this one.
    }
    for (const task_name& task : lost) {
        release_lost_run(worker, task, "worker-restarted", now);
    }
}

void job_scheduler::release_lost_run(worker_state& worker, const task_name& task, std::string_view reason,
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
         {"worker_started_ms", std::to_string(worker.started_ms)},
         {"reason", std::string(reason)}});
    return_to_waiting(task, run);
}

void job_scheduler::return_to_waiting(const task_name& task, run_number run) {
    tracked_job* const job = find(task.job);
    tracked_task* const state = job == nullptr || job->is_final() ? nullptr : job->find_task(task);
    if (state == nullptr || !state->is_placed_as(run)) {
        return;
    }
    state->return_to_waiting();
    waiting_jobs_.insert(task.job);
}

bool job_scheduler::handle_report(const worker_id& id, const worker_report& report, absl::Time sent_at,
                                  absl::Time now) {
    worker_state* const worker = find_worker(id);
    if (worker == nullptr || worker->is_terminated || !admit_response(*worker, report.started_ms, now)) {
        return false;
    }
    const bool was_reachable = worker->is_reachable;
    const auto earlier_coverage = worker->coverage;
    worker->is_reachable = true;
    worker->add_coverage(report.coverage);
    worker->is_lease_expired = false;
    for (const listed_end& end : report.ended) {
        if (end.sequence_number > worker->last_processed_end) {
            worker->last_processed_end = end.sequence_number;
            handle_listed_end(*worker, end, now);
        }
    }
    for (const listed_run& run : report.running) {
        handle_listed_run(*worker, run, sent_at, now);
    }
    const bool was_any_absent = release_absent_runs(*worker, report, sent_at, now);
    if (!worker->runs.empty()) {
        worker->idle_since = now;
    }
    return !was_reachable || worker->coverage != earlier_coverage || was_any_absent || !report.ended.empty();
}

void job_scheduler::handle_listed_run(worker_state& worker, const listed_run& run, absl::Time sent_at,
                                      absl::Time now) {
    tracked_job* const job = find(run.task.job);
    tracked_task* const task = job == nullptr || job->is_final() ? nullptr : job->find_started_task(run.task);
    if (task != nullptr) {
        record_run_number(*job, run.run);
    }
    auto known = worker.runs.find(run.task);
    if (known == worker.runs.end()) {
        placed_run adopted{
            .run = run.run, .phase = run_phase::stopping, .phase_since = now, .responded_at = sent_at};
        if (task != nullptr) {
            adopted.amount = required_resources(job->step_of(run.task));
            adopted.traits = traits_of(job->step_of(run.task));
        }
        // The run is kept, whatever its number, if the task has no other. While it was being stopped, the
        // task would start elsewhere.
        if (task != nullptr && task->phase == task_phase::waiting) {
            adopted.phase = run_phase::running;
            adopted.last_progress_at = now;
            task->place(run.run);
            if (job->record_started()) {
                changed_jobs_.insert(job->id());
            }
        } else {
            adopted.responded_at = absl::InfiniteFuture();
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
    placed.worker_started_ms = worker.started_ms;
    if (placed.phase == run_phase::starting) {
        placed.phase = run_phase::running;
        placed.responded_at = now;
        record_task_started(run.task.job);
    }
    if (placed.percent != run.progress_percent) {
        placed.percent = run.progress_percent;
        placed.last_progress_at = now;
    }
    placed.load = run.load;
    if (task == nullptr || !task->is_placed_as(run.run)) {
        return;
    }
    if (!run.checkpoint.empty()) {
        task->checkpoint = run.checkpoint;
    }
    task->is_ready = run.progress_percent >= 100 && placed.phase == run_phase::running;
}

void job_scheduler::handle_listed_end(worker_state& worker, const listed_end& end, absl::Time now) {
    run_number ended_run = end.run;
    const auto placed = worker.runs.find(end.task);
    if (placed != worker.runs.end() && placed->second.run <= end.run) {
        // The worker refuses the start of a run with a lower number than that of one that has ended there.
        ended_run = placed->second.run;
        remove_run(worker, end.task);
    }
    tracked_job* const job = find(end.task.job);
    tracked_task* const task = job == nullptr || job->is_final() ? nullptr : job->find_started_task(end.task);
    const bool is_missing = job == nullptr || (!job->is_final() && task == nullptr);
    const bool is_superseded =
        task != nullptr && end.outcome == run_outcome::done && end.run < task->last_run_number;
    if (is_missing || is_superseded) {
        log(is_missing ? "run_end_ignored" : "run_end_late", end.task.job,
            {{"task", to_string(end.task)},
             {"run", std::to_string(end.run)},
             {"worker", worker.entry.id.value()},
             {"how", std::string(to_string(end.outcome))},
             {"last_run", task == nullptr ? "none" : std::to_string(task->last_run_number)}});
    }
    if (task == nullptr || task->phase == task_phase::done) {
        return;
    }
    record_run_number(*job, end.run);
    const job_step& step = job->step_of(end.task);
    if (!end.checkpoint.empty() && end.run >= task->last_run_number) {
        task->checkpoint = end.checkpoint;
    }
    if (end.outcome == run_outcome::done && !step.is_long_running) {
        worker.health.record_success();
        task_name member = end.task;
        const int members = step.is_gang ? step.task_count : 1;
        for (int index = 0; index < members; ++index) {
            member.index = step.is_gang ? index : end.task.index;
            job->record_completed(member);
        }
        if (!step.is_gang) {
            stop_other_runs(end.task);
        }
        process_job_change(*job);
        return;
    }
    if (end.outcome == run_outcome::failed) {
        task->last_failed_worker = worker.entry.id;
        const bool is_quarantined = worker.health.record_failure(end.task.job, now);
        task_name counted = end.task;
        counted.index = step.is_gang ? 0 : counted.index;
        const queue_rules* const rules = rules_of(*job);
        // Without the rules of the queue the limit is unknown, and the job must not fail early.
        const int max_attempts = rules == nullptr ? std::numeric_limits<int>::max() : rules->max_attempts;
        if (job->record_failure(counted, end.run, max_attempts)) {
            changed_jobs_.insert(job->id());
        }
        log("run_failed", end.task.job,
            {{"task", to_string(end.task)},
             {"run", std::to_string(end.run)},
             {"worker", worker.entry.id.value()},
             {"worker_rested", is_quarantined ? "true" : "false"}});
    } else if (end.outcome != run_outcome::stopped) {
        log("run_ended", end.task.job,
            {{"task", to_string(end.task)},
             {"run", std::to_string(end.run)},
             {"worker", worker.entry.id.value()},
             {"how", std::string(to_string(end.outcome))}});
    }
    if (job->is_final()) {
        process_job_change(*job);
        return;
    }
    task->last_run_number = std::max(task->last_run_number, end.run);
    return_to_waiting(end.task, ended_run);
}

bool job_scheduler::release_absent_runs(worker_state& worker, const worker_report& report, absl::Time sent_at,
                                        absl::Time now) {
    if (report.coverage != report_coverage::complete) {
        return false;
    }
    std::vector<std::pair<task_name, std::string_view>> absent;
    for (const auto& [task, run] : worker.runs) {
        if (run.responded_at < sent_at && run.listed_at != sent_at) {
            absent.emplace_back(task, run.phase == run_phase::stopping ? "stopped" : "not-listed");
        }
    }
    for (const auto& [task, reason] : absent) {
        release_lost_run(worker, task, reason, now);
    }
    return !absent.empty();
}

void job_scheduler::record_task_started(const job_id& id) {
    tracked_job* const job = find(id);
    if (job != nullptr && job->record_started()) {
        changed_jobs_.insert(id);
    }
}

void job_scheduler::record_run_number(tracked_job& job, run_number run) {
    if (job.record_run_number(run)) {
        changed_jobs_.insert(job.id());
    }
}

void job_scheduler::handle_unreachable(const worker_id& id) {
    if (worker_state* const worker = find_worker(id)) {
        worker->is_reachable = false;
    }
}

void job_scheduler::handle_lease_expired(const worker_id& id, absl::Time now) {
    worker_state* const worker = find_worker(id);
    if (worker == nullptr) {
        return;
    }
    worker->is_reachable = false;
    worker->is_lease_expired = true;
    release_all_runs(*worker, "lease-ended", now);
}

void job_scheduler::handle_terminated(const worker_id& id, absl::Time now) {
    worker_state* const worker = find_worker(id);
    if (worker == nullptr || worker->is_terminated) {
        return;
    }
    worker->is_terminated = true;
    worker->is_reachable = false;
    release_all_runs(*worker, "worker-gone", now);
}

void job_scheduler::release_all_runs(worker_state& worker, std::string_view reason, absl::Time now) {
    while (!worker.runs.empty()) {
        // A copy, since the map entry is removed while the name is still needed.
        const task_name task = worker.runs.begin()->first;
        release_lost_run(worker, task, reason, now);
    }
}

}  // namespace masticpass
