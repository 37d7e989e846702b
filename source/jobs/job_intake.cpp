#include "jobs/job_intake.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "jobs/job_keys.h"
#include "telemetry/guarded_call.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

// Delay after a transaction whose outcome is unknown, before its jobs are sent again.
constexpr std::chrono::milliseconds retry_delay{50};
// Time for which a job whose transaction had an unknown outcome counts as possibly stored. Callers send a job
// again for seconds, and the store executes a delayed transaction within seconds.
constexpr absl::Duration unresolved_retention = absl::Seconds(60);
// Number of such jobs above which those whose time has passed are forgotten.
constexpr std::size_t maximum_unresolved_jobs = 4096;

}  // namespace

submit_result job_intake::submit(const job_id& id, const accepted_job& job, absl::Time deadline) {
    waiting_job entry{.id = id,
                      .accepted_key = job_keys::accepted(id),
                      .accepted_value = write_accepted_job(job),
                      .record_key = job_keys::record(job.queue, id),
                      .is_timed = job.specification.is_timed(),
                      .deadline = deadline};
    std::unique_lock<std::mutex> lock(mutex_);
    entry.may_be_stored_by_earlier_call = is_unresolved(id);
    queue_.push_back(&entry);
    while (!entry.is_done) {
        if (is_committing_) {
            batch_committed_.wait(lock);
        } else {
            commit_next_batch(lock);
        }
    }
    return entry.result;
}

bool job_intake::may_be_stored(const job_id& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return is_unresolved(id);
}

bool job_intake::is_unresolved(const job_id& id) const {
    const auto unresolved = unresolved_jobs_.find(id);
    return unresolved != unresolved_jobs_.end() && clock_.now() < unresolved->second;
}

void job_intake::commit_next_batch(std::unique_lock<std::mutex>& lock) {
    is_committing_ = true;
    const std::vector<waiting_job*> batch = take_batch();
    lock.unlock();
    // After an exception the transaction may have taken effect.
    std::vector<write_outcome> outcomes(batch.size(), write_outcome::unresolved);
    call_guarded("store-jobs", [&] { outcomes = store_batch(batch); });
    if (std::find(outcomes.begin(), outcomes.end(), write_outcome::unresolved) != outcomes.end()) {
        std::this_thread::sleep_for(retry_delay);
    }
    const absl::Time now = clock_.now();
    lock.lock();
    for (std::size_t index = 0; index < batch.size(); ++index) {
        apply_outcome(*batch[index], outcomes[index], now);
        if (!batch[index]->is_done) {
            queue_.push_back(batch[index]);
        }
    }
    is_committing_ = false;
    batch_committed_.notify_all();
}

std::vector<job_intake::waiting_job*> job_intake::take_batch() {
    std::vector<waiting_job*> batch;
    std::deque<waiting_job*> deferred;
    while (!queue_.empty() && batch.size() < maximum_jobs_per_transaction) {
        waiting_job* const job = queue_.front();
        queue_.pop_front();
        const bool is_repeated = std::any_of(batch.begin(), batch.end(), [&](const waiting_job* other) {
            return other->accepted_key == job->accepted_key;
        });
        (is_repeated ? deferred.push_back(job) : batch.push_back(job));
    }
    queue_.insert(queue_.begin(), deferred.begin(), deferred.end());
    return batch;
}

void job_intake::apply_outcome(waiting_job& job, write_outcome outcome, absl::Time now) {
    job.may_be_stored = job.may_be_stored || outcome == write_outcome::unresolved;
    if (outcome == write_outcome::accepted) {
        job.is_done = true;
        job.result = submit_result::accepted;
    } else if (outcome == write_outcome::refused || now >= job.deadline) {
        job.is_done = true;
        const bool may_be_stored = job.may_be_stored || job.may_be_stored_by_earlier_call;
        job.result = may_be_stored ? submit_result::unknown : submit_result::refused;
    }
    if (job.is_done) {
        note_result(job, now);
    }
}

void job_intake::note_result(const waiting_job& job, absl::Time now) {
    if (job.result == submit_result::unknown) {
        unresolved_jobs_.insert_or_assign(job.id, now + unresolved_retention);
    } else if (job.result == submit_result::accepted) {
        unresolved_jobs_.erase(job.id);
    }
    if (unresolved_jobs_.size() > maximum_unresolved_jobs) {
        std::erase_if(unresolved_jobs_, [now](const auto& entry) { return entry.second < now; });
    }
}

std::vector<job_intake::write_outcome> job_intake::store_batch(const std::vector<waiting_job*>& batch) {
    store_transaction change;
    const std::string queued_record = write_job_record({});
    const std::string queued_timed_record = write_job_record({.is_timed = true});
    for (const waiting_job* const job : batch) {
        change.expectations.push_back({.key = job->accepted_key, .revision = 0});
        change.writes.push_back({.key = job->accepted_key, .value = job->accepted_value});
        change.writes.push_back(
            {.key = job->record_key, .value = job->is_timed ? queued_timed_record : queued_record});
    }
    const auto revision = store_.transact(change);
    if (revision) {
        return std::vector<write_outcome>(batch.size(), write_outcome::accepted);
    }
    const store_error& error = revision.error().error;
    metrics_.count({.name = "masticpass_intake_retries_total",
                    .label = "reason",
                    .label_value = std::string(to_string(error.kind))});
    if (error.kind == store_error_kind::conflict) {
        return outcomes_of_conflict(batch, revision.error().current_entries);
    }
    log_event(log_severity::warning, "intake_failed",
              {{"jobs", std::to_string(batch.size())},
               {"first", batch.front()->id.value()},
               {"reason", std::string(to_string(error.kind))},
               {"message", error.message}});
    std::vector<write_outcome> outcomes;
    outcomes.reserve(batch.size());
    for (const waiting_job* const job : batch) {
        const bool may_be_stored = error.kind == store_error_kind::unknown_outcome || job->may_be_stored;
        outcomes.push_back(may_be_stored ? write_outcome::unresolved : write_outcome::refused);
    }
    return outcomes;
}

std::vector<job_intake::write_outcome> job_intake::outcomes_of_conflict(
    const std::vector<waiting_job*>& batch, const std::vector<store_entry>& present) {
    std::vector<write_outcome> outcomes;
    outcomes.reserve(batch.size());
    for (const waiting_job* const job : batch) {
        const bool is_stored = std::any_of(present.begin(), present.end(), [&](const store_entry& entry) {
            return entry.key == job->accepted_key;
        });
        outcomes.push_back(is_stored ? write_outcome::accepted : write_outcome::not_stored);
    }
    return outcomes;
}

}  // namespace masticpass
