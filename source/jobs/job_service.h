#ifndef MASTICPASS_JOBS_JOB_SERVICE_H
#define MASTICPASS_JOBS_JOB_SERVICE_H

#include <optional>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "common/clock.h"
#include "decision/jobs/job_json.h"
#include "decision/jobs/job_types.h"
#include "jobs/job_intake.h"
#include "store/transactional_store.h"
#include "telemetry/metrics.h"

namespace masticpass {

// What callers ask of jobs. An entry VM answers from the store alone, so that callers are served while a
// shard has no owner. Ownership: borrows the store, the clock and the metrics. Thread safety: all methods may
// be called from any thread.
class job_service {
public:
    enum class lookup_result { found, unknown_job, store_unavailable };
    struct job_status {
        lookup_result result = lookup_result::store_unavailable;
        job_phase phase = job_phase::queued;
    };

    // After a failed call of the store, jobs are refused at once for this time instead of waiting for it.
    static constexpr absl::Duration store_failure_backoff = absl::Milliseconds(300);

    job_service(transactional_store& store, const clock& time, metrics_registry& metrics)
        : store_(store), clock_(time), intake_(store, time, metrics) {}

    // Stores a job. `deadline` is on this service's clock.
    submit_result submit(const job_id& id, const accepted_job& job, absl::Time deadline);
    job_status find_status(const queue_name& queue, const job_id& id);
    // Stores the wish to cancel. A job that has ended stays as it is. `found` means that the wish is stored
    // or not needed.
    lookup_result cancel(const queue_name& queue, const job_id& id);
    // Accepted jobs of the queue of which no task has started, without those that have times of their own.
    // nullopt if the store cannot be read.
    std::optional<std::int64_t> count_pending(const queue_name& queue);

private:
    bool is_store_failing() const;
    void record_store_response(bool is_answering);

    transactional_store& store_;
    const clock& clock_;
    job_intake intake_;
    mutable absl::Mutex mutex_;
    absl::Time store_failed_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
};

}  // namespace masticpass

#endif
