#ifndef MASTICPASS_JOBS_JOB_INTAKE_H
#define MASTICPASS_JOBS_JOB_INTAKE_H

#include <condition_variable>
#include <deque>
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
    accepted,  // Stored, by this call or an earlier one.
    refused,   // Not stored, and no call of this intake can store it later.
    unknown,   // May have been stored, or may be.
};

// Stores accepted jobs. Calls that arrive while a transaction is under way share the next one, so that a
// burst costs few writes. Whether a job is new is decided by the store: a job id is created once, at
// whichever entry VM it arrives, and however often. Ownership: borrows the store, the clock and the metrics.
// Thread safety: all methods may be called from any thread.
class job_intake {
public:
    // A transaction stores so many jobs, with two entries and one expectation for each.
    static constexpr std::size_t maximum_jobs_per_transaction = transactional_store::maximum_entries / 3;

    job_intake(transactional_store& store, const clock& time, metrics_registry& metrics)
        : store_(store), clock_(time), metrics_(metrics) {}

    // Blocks until the store has answered, or `deadline` has passed. An answer that was lost is asked for
    // again until then.
    submit_result submit(const job_id& id, const accepted_job& job, absl::Time deadline);

private:
    struct waiting_job {
        job_id id = {};
        std::string accepted_key = {};
        std::string accepted_value = {};
        std::string record_key = {};
        bool is_timed = false;
        absl::Time deadline = {};
        // An earlier transaction with this job had no answer.
        bool may_be_stored = false;
        bool is_done = false;
        submit_result result = submit_result::unknown;
    };

    // What one transaction means for one of its jobs.
    enum class write_outcome {
        accepted,
        refused,
        unresolved,  // It may have been stored; ask again.
        not_stored,  // Not stored, for the sake of another job of the transaction.
    };

    void commit_next_batch(std::unique_lock<std::mutex>& lock);
    std::vector<waiting_job*> take_batch();
    // Called without the lock. Reads the jobs and changes none, since their callers read them under the lock.
    std::vector<write_outcome> store_batch(const std::vector<waiting_job*>& batch);
    static std::vector<write_outcome> outcomes_of_conflict(const std::vector<waiting_job*>& batch,
                                                           const std::vector<store_entry>& present);
    static void apply_outcome(waiting_job& job, write_outcome result, absl::Time now);

    transactional_store& store_;
    const clock& clock_;
    metrics_registry& metrics_;
    // Waits are measured on the steady clock, which the time of day does not disturb.
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<waiting_job*> queue_;
    bool is_committing_ = false;
};

}  // namespace masticpass

#endif
