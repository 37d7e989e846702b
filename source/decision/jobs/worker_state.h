#ifndef MASTICPASS_DECISION_JOBS_WORKER_STATE_H
#define MASTICPASS_DECISION_JOBS_WORKER_STATE_H

#include <map>

#include <absl/time/time.h>

#include "decision/jobs/job_types.h"
#include "decision/jobs/worker_health.h"

namespace masticpass {

enum class run_phase {
    planned,   // No order was given. The job's record must name the worker first.
    starting,  // The order is on its way; its outcome is not known.
    running,
    stopping,  // Must end, or is known only as an order that may be carried out late and must be barred.
};

// What the step of a run says of it, kept here since the step is freed when its job ends.
struct run_traits {
    bool is_long_running = false;
    bool is_gang = false;
    bool fills_idle_processor = false;
    // Limit for the tail of the response times of a run that serves; zero for none.
    absl::Duration target_latency = {};
    absl::Duration estimate = {};
};

run_traits traits_of(const job_step& step);

// One run that exists, or may exist, on a worker. It takes room until the worker shows that it is gone.
struct placed_run {
    run_number run = 0;
    run_phase phase = run_phase::starting;
    resource_amount amount = {};
    run_traits traits = {};
    absl::Time phase_since = {};
    // The worker answered the order of this phase at this time. A look that was sent later shows its effect.
    absl::Time answered_at = absl::InfiniteFuture();
    // A stop is on its way or was answered.
    bool is_stop_sent = false;
    absl::Time next_stop_at = absl::InfinitePast();
    int percent = 0;
    absl::Time last_progress_at = {};
    std::int64_t load = 0;
    // The last look that listed the run was sent at this time.
    absl::Time listed_at = absl::InfinitePast();
    // Share of its speed that the run was last told to work at.
    int speed_percent = 100;
    absl::Time speed_changed_at = absl::InfinitePast();
};

// The owner's view of one worker. Thread safety: none.
struct worker_state {
    worker_entry entry = {};
    // The directory has an entry of the worker.
    bool is_listed = true;
    // The last look was answered.
    bool is_reachable = false;
    // The worker has seen this owner's fence, and this owner has seen what runs there.
    bool is_synced = false;
    // The VM is about to be moved or maintained: it gets no further tasks.
    bool is_cordoned = false;
    // The worker was not reachable until the last lease that any owner can have granted had ended.
    bool is_lease_expired = false;
    // The platform's list of VMs shows that the worker's life is over.
    bool is_terminated = false;
    absl::Time known_since = {};
    std::int64_t started_ms = 0;
    std::map<task_name, placed_run> runs = {};
    resource_amount reserved = {};
    // The part of it that lasting runs take.
    resource_amount reserved_long_running = {};
    // Ends up to this number were processed, and up to the other their effects are stored.
    std::int64_t last_processed_end = 0;
    std::int64_t last_stored_end = 0;
    worker_health health = {};
    // When the worker last had a run, for deciding whether its VM is needed.
    absl::Time idle_since = {};

    resource_amount free_capacity() const { return entry.capacity - reserved; }
    bool accepts_tasks(absl::Time now) const {
        return is_listed && !is_terminated && !entry.is_draining && is_reachable && is_synced &&
               !is_cordoned && health.accepts_tasks(now);
    }
    // What an earlier owner may have placed here is known, or has ended.
    bool is_accounted_for() const { return is_synced || is_lease_expired || is_terminated; }
    // Nothing runs here, by what the worker showed or because every lease has ended.
    bool is_known_to_be_idle() const {
        return runs.empty() && ((is_synced && is_reachable) || is_lease_expired || is_terminated);
    }
    int run_count_of_step(const task_name& task) const;

    void add_run(const task_name& task, const placed_run& run);
    // Returns whether there was a run.
    bool remove_run(const task_name& task);
};

}  // namespace masticpass

#endif
