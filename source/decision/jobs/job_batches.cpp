// Selection of records to store, and the actions that follow once they are stored.

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_set.h>

#include "decision/jobs/job_scheduler.h"

namespace masticpass {

bool job_scheduler::is_still_planned(const record_batch::planned_start& start) const {
    const auto worker = workers_.find(start.worker);
    if (worker == workers_.end()) {
        return false;
    }
    const auto run = worker->second.runs.find(start.task);
    return run != worker->second.runs.end() && run->second.run == start.run &&
           run->second.phase == run_phase::planned;
}

std::vector<job_id> job_scheduler::take_changed_jobs(batch_scope scope) {
    if (scope == batch_scope::all) {
        const std::set<job_id> changed = std::exchange(changed_jobs_, {});
        return {changed.begin(), changed.end()};
    }
    absl::flat_hash_set<job_id> awaited;
    for (const record_batch::planned_start& start : planned_starts_) {
        awaited.insert(start.task.job);
    }
    std::vector<job_id> taken;
    std::erase_if(changed_jobs_, [&](const job_id& id) {
        const bool is_urgent = awaited.contains(id) || find(id)->is_final();
        if (is_urgent) {
            taken.push_back(id);
        }
        return is_urgent;
    });
    return taken;
}

record_batch job_scheduler::take_batch(absl::Time wall_clock_now, batch_scope scope) {
    record_batch batch;
    for (const job_id& id : take_changed_jobs(scope)) {
        tracked_job* const job = find(id);
        if (job->is_final() && job->ended_at() == absl::InfiniteFuture()) {
            job->set_ended_at(wall_clock_now);
        }
        batch.updates.push_back({.job = id, .queue = job->job_origin().queue, .record = record_of(*job)});
    }
    std::erase_if(planned_starts_, [this](const auto& start) { return !is_still_planned(start); });
    batch.starts = planned_starts_;
    if (scope == batch_scope::urgent) {
        return batch;
    }
    for (const auto& [id, worker] : workers_) {
        if (worker.last_stored_end < worker.last_processed_end) {
            batch.acknowledgements.push_back({.worker = id,
                                              .started_ms = worker.started_ms,
                                              .last_end_number = worker.last_processed_end});
        }
    }
    return batch;
}

std::vector<worker_order> job_scheduler::confirm_batch(const record_batch& batch, bool is_stored) {
    if (!is_stored) {
        for (const record_batch::update& update : batch.updates) {
            if (jobs_.contains(update.job)) {
                changed_jobs_.insert(update.job);
            }
        }
        return {};
    }
    for (const record_batch::acknowledgement& acknowledgement : batch.acknowledgements) {
        worker_state* const worker = find_worker(acknowledgement.worker);
        if (worker != nullptr && worker->started_ms == acknowledgement.started_ms) {
            worker->last_stored_end = std::max(worker->last_stored_end, acknowledgement.last_end_number);
        }
    }
    std::vector<worker_order> orders;
    for (const record_batch::planned_start& start : batch.starts) {
        if (is_still_planned(start)) {
            orders.push_back(make_start_order(start));
        }
    }
    return orders;
}

std::vector<std::pair<job_id, queue_name>> job_scheduler::expired_jobs(absl::Time ended_before,
                                                                       std::size_t limit) const {
    std::vector<std::pair<job_id, queue_name>> expired;
    for (const auto& [id, job] : jobs_) {
        if (expired.size() == limit) {
            break;
        }
        if (job->is_final() && job->ended_at() < ended_before && !changed_jobs_.contains(id)) {
            expired.emplace_back(id, job->job_origin().queue);
        }
    }
    return expired;
}

void job_scheduler::remove_job(const job_id& id) {
    changed_jobs_.erase(id);
    jobs_.erase(id);
}

}  // namespace masticpass
