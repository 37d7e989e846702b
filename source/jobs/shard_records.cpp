// The part of shard_owner that stores the records of jobs, and removes those of jobs that ended long ago.

#include <algorithm>
#include <utility>

#include "jobs/job_keys.h"
#include "jobs/shard_owner.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

// Minimum time between two commits, so that placements and results within this time are written together.
constexpr absl::Duration minimum_commit_interval = absl::Milliseconds(25);
// Interval of commits while no event requires one.
constexpr absl::Duration maximum_commit_interval = absl::Milliseconds(500);
// Interval of commits of all changed records. The commits between them contain only the urgent records. The
// ends of tasks that no other task waits for are therefore stored, and then acknowledged, at this interval.
constexpr absl::Duration full_commit_interval = absl::Milliseconds(250);
// Interval at which the keys of expired jobs are removed.
constexpr absl::Duration removal_interval = absl::Seconds(1);
constexpr std::size_t maximum_expired_jobs_per_removal = 10;
// All keys of a job are removed in one transaction, so that no later owner finds only some of them.
static_assert(maximum_expired_jobs_per_removal * job_keys::keys_per_job <=
              fenced_writer::maximum_entries_per_transaction);

}  // namespace

void shard_owner::commit_loop() {
    while (wait_while_running(minimum_commit_interval)) {
        {
            std::unique_lock<std::mutex> lock(mutex_);
            commit_needed_.wait_for(lock, absl::ToChronoMilliseconds(maximum_commit_interval),
                                    [this] { return must_commit_ || has_ended_; });
            must_commit_ = false;
        }
        if (are_jobs_loaded_ && is_running()) {
            commit_batch();
            remove_expired_jobs();
        }
    }
}

void shard_owner::commit_batch() {
    const std::lock_guard<std::mutex> batch_lock(batch_mutex_);
    record_batch batch;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const absl::Time now = dependencies_.time.now();
        const bool is_full_commit = now >= next_full_commit_;
        batch = scheduler_.take_batch(absl::Now(), is_full_commit ? batch_scope::all : batch_scope::urgent);
        next_full_commit_ = is_full_commit ? now + full_commit_interval : next_full_commit_;
    }
    if (batch.is_empty()) {
        return;
    }
    const auto written = record_writer_.write(batch.updates);
    if (!written && written.error() == fenced_writer::write_error::superseded) {
        abandon();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    dispatch_orders(scheduler_.confirm_batch(batch, written.has_value()));
    must_commit_ = must_commit_ || !written;
}

void shard_owner::remove_expired_jobs() {
    const std::unique_lock<std::mutex> inputs_lock(inputs_mutex_, std::try_to_lock);
    if (!inputs_lock) {
        return;
    }
    std::vector<std::pair<job_id, queue_name>> expired;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (dependencies_.time.now() < next_removal_) {
            return;
        }
        next_removal_ = dependencies_.time.now() + removal_interval;
        expired = scheduler_.expired_jobs(absl::Now() - options_.retention, maximum_expired_jobs_per_removal);
    }
    remove_obsolete_hand_over_requests();
    std::vector<std::string> removals;
    for (const auto& [job, queue] : expired) {
        for (std::string& key : job_keys::all_of_job(queue, job)) {
            removals.push_back(std::move(key));
        }
    }
    if (removals.empty()) {
        return;
    }
    if (!writer_.write({}, std::move(removals))) {
        log_event(log_severity::warning, "removal_failed", {{"jobs", std::to_string(expired.size())}});
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [job, queue] : expired) {
        scheduler_.remove_job(job);
    }
}

void shard_owner::remove_obsolete_hand_over_requests() {
    std::set<std::string> obsolete;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        obsolete = obsolete_hand_over_requests_;
    }
    if (obsolete.empty()) {
        return;
    }
    if (!writer_.write({}, {obsolete.begin(), obsolete.end()})) {
        log_event(log_severity::warning, "removal_failed",
                  {{"hand_over_requests", std::to_string(obsolete.size())}});
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const std::string& key : obsolete) {
        obsolete_hand_over_requests_.erase(key);
    }
}

}  // namespace masticpass
