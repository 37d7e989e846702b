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

// Serves the requests of callers that concern jobs. It uses only the store, so that callers are served while
// a shard has no owner. Ownership: borrows the store, the clock and the metrics. Thread safety: all methods
// may be called from any thread.
class job_service {
public:
    enum class lookup_result { found, unknown_job, store_unavailable };
    struct job_status {
        lookup_result result = lookup_result::store_unavailable;
        job_phase phase = job_phase::queued;
    };

    // After a job could not be stored, new jobs are refused immediately for this long, so that their callers
    // do not wait for the store.
    static constexpr absl::Duration store_failure_backoff = absl::Milliseconds(300);

    job_service(transactional_store& store, const clock& time, metrics_registry& metrics)
        : store_(store), clock_(time), intake_(store, time, metrics) {}

    // Stores a job. `deadline` is a time on the clock of this service.
    submit_result submit(const job_id& id, const accepted_job& job, absl::Time deadline);
    // Returns the state of a job from its record.
    job_status find_status(const queue_name& queue, const job_id& id);
    // Stores a request to cancel the job. Returns `found` if the request is stored, or if the job has already
    // ended and therefore does not change.
    lookup_result cancel(const queue_name& queue, const job_id& id);
    // Returns the number of accepted jobs of the queue of which no task has started, excluding jobs that run
    // on a schedule. Returns nullopt if the store cannot be read.
    std::optional<std::int64_t> count_pending(const queue_name& queue);

private:
    // Returns whether the last attempt to store a job failed less than store_failure_backoff ago.
    bool is_store_failing() const;
    void record_store_availability(bool is_available);

    transactional_store& store_;
    const clock& clock_;
    job_intake intake_;
    mutable absl::Mutex mutex_;
    absl::Time store_failed_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
};

}  // namespace masticpass

#endif
