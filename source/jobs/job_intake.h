#ifndef MASTICPASS_JOBS_JOB_INTAKE_H
#define MASTICPASS_JOBS_JOB_INTAKE_H

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "common/clock.h"
#include "decision/jobs/job_json.h"
#include "store/transactional_store.h"
#include "telemetry/metrics.h"

namespace masticpass {

enum class submit_result {
    accepted,  // The job is stored, by this call or an earlier one.
    refused,   // The job is not stored, and no earlier transaction of this process can still store it.
    unknown,   // The job may be stored, or may still be stored by a delayed transaction.
};

// Stores accepted jobs. Calls that arrive while a transaction is in progress share the next one, so that a
// burst needs few writes. The store decides whether a job is new: the key of a job id is created only once,
// however often and through whichever entry VMs the job is submitted. Ownership: borrows the store, the clock
// and the metrics. Thread safety: all methods may be called from any thread.
class job_intake {
public:
    // Each job takes three entries of a transaction: two writes and one expectation.
    static constexpr std::size_t maximum_jobs_per_transaction = transactional_store::maximum_entries / 3;

    job_intake(transactional_store& store, const clock& time, metrics_registry& metrics)
        : store_(store), clock_(time), metrics_(metrics) {}

    // Blocks until the outcome is known or `deadline` has passed. Until then it retries a transaction whose
    // outcome is unknown.
    submit_result submit(const job_id& id, const accepted_job& job, absl::Time deadline);
    // Returns whether an earlier call for the job ended with an unknown outcome, so that a caller must not be
    // told that the job is not stored.
    bool may_be_stored(const job_id& id);

private:
    struct waiting_job {
        job_id id = {};
        std::string accepted_key = {};
        std::string accepted_value = {};
        std::string record_key = {};
        bool is_timed = false;
        absl::Time deadline = {};
        // True if the outcome of an earlier transaction with this job is unknown.
        bool may_be_stored = false;
        // True if an earlier call for the job ended with an unknown outcome.
        bool may_be_stored_by_earlier_call = false;
        bool is_done = false;
        submit_result result = submit_result::unknown;
    };

    // Outcome of one transaction for one of its jobs.
    enum class write_outcome {
        accepted,    // The job is stored.
        refused,     // The job is not stored, because the store is unavailable or refuses the transaction.
        unresolved,  // The job may have been stored, so it must be sent again.
        not_stored,  // The job is not stored because another one conflicted, so it must be sent again.
    };

    // Precondition: the caller holds the lock.
    bool is_unresolved(const job_id& id) const;
    // Stores the next batch of waiting jobs and sets their outcomes. Releases the lock in the meantime.
    void commit_next_batch(std::unique_lock<std::mutex>& lock);
    // Removes the jobs of the next transaction from the queue, at most one for each job id.
    std::vector<waiting_job*> take_batch();
    // Called without the lock. Does not modify the jobs, because their callers read them under the lock.
    std::vector<write_outcome> store_batch(const std::vector<waiting_job*>& batch);
    // Returns the outcomes of a transaction that conflicted with the `present` entries.
    static std::vector<write_outcome> outcomes_of_conflict(const std::vector<waiting_job*>& batch,
                                                           const std::vector<store_entry>& present);
    // Completes the job if its outcome is known or its deadline has passed.
    void apply_outcome(waiting_job& job, write_outcome outcome, absl::Time now);
    // Remembers whether the job may still be stored after this call.
    void note_result(const waiting_job& job, absl::Time now);

    transactional_store& store_;
    const clock& clock_;
    metrics_registry& metrics_;
    // std::condition_variable measures waits on the steady clock, which is not affected by changes of the
    // wall-clock time.
    std::mutex mutex_;
    std::condition_variable batch_committed_;
    std::deque<waiting_job*> queue_;
    // Jobs of earlier calls that may still be stored, and how long they count as such.
    std::map<job_id, absl::Time> unresolved_jobs_;
    // True while a caller runs a transaction on behalf of all waiting ones.
    bool is_committing_ = false;
};

}  // namespace masticpass

#endif
