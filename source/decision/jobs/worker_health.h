#ifndef MASTICPASS_DECISION_JOBS_WORKER_HEALTH_H
#define MASTICPASS_DECISION_JOBS_WORKER_HEALTH_H

#include <algorithm>
#include <set>

#include <absl/time/time.h>

#include "decision/jobs/job_types.h"

namespace masticpass {

// Distinguishes a worker that fails every task from jobs that cannot succeed: a worker is quarantined after
// failures of several jobs without a success in between, and all failures of one job count once.
// Load pattern: a faulty worker ends its tasks quickly and therefore attracts more of them.
// Thread safety: none.
class worker_health {
public:
    // The worker is quarantined after failures of this many different jobs without a success in between.
    static constexpr std::size_t failing_job_threshold = 2;
    // Duration of the first quarantine. It doubles up to the maximum while the worker keeps failing.
    static constexpr absl::Duration initial_quarantine = absl::Seconds(4);
    static constexpr absl::Duration maximum_quarantine = absl::Seconds(16);
    // Quarantine after an order that the worker refused as unhealthy or responded to late.
    static constexpr absl::Duration refusal_quarantine = absl::Milliseconds(500);

    bool accepts_tasks(absl::Time now) const { return now >= quarantined_until_; }
    // Returns whether a run on the worker succeeded after its last failure.
    bool has_recent_success() const { return has_recent_success_; }

    void record_success() {
        failed_jobs_.clear();
        next_quarantine_ = initial_quarantine;
        has_recent_success_ = true;
    }

    // Returns whether this failure quarantines the worker.
    bool record_failure(const job_id& job, absl::Time now) {
        has_recent_success_ = false;
        failed_jobs_.insert(job);
        if (failed_jobs_.size() < failing_job_threshold || !accepts_tasks(now)) {
            return false;
        }
        quarantined_until_ = now + next_quarantine_;
        next_quarantine_ = std::min(2 * next_quarantine_, maximum_quarantine);
        return true;
    }

    // Records that a run on the worker makes no progress.
    void record_stuck_run(absl::Time now) {
        has_recent_success_ = false;
        quarantined_until_ = std::max(quarantined_until_, now + initial_quarantine);
    }

    void record_refusal(absl::Time now) {
        quarantined_until_ = std::max(quarantined_until_, now + refusal_quarantine);
    }

private:
    std::set<job_id> failed_jobs_;
    absl::Time quarantined_until_ = absl::InfinitePast();
    absl::Duration next_quarantine_ = initial_quarantine;
    bool has_recent_success_ = false;
};

}  // namespace masticpass

#endif
