#ifndef MASTICPASS_DECISION_JOBS_WORKER_STATE_H
#define MASTICPASS_DECISION_JOBS_WORKER_STATE_H

#include <map>
#include <optional>

#include <absl/time/time.h>

#include "decision/jobs/job_types.h"
#include "decision/jobs/worker_health.h"

namespace masticpass {

enum class run_phase {
    planned,   // No start order was sent yet; the job's record must name the worker first.
    starting,  // A start order was sent; its outcome is unknown.
    running,
    stopping,  // Must end, or may still start through a delayed order, which a stop order must block.
};

// Properties of a run that its job step specifies. They are copied because the step is destroyed when its job
// ends.
struct run_traits {
    bool is_long_running = false;
    bool is_gang = false;
    bool fills_idle_processor = false;
    // Target for the tail latency of a run that serves requests; zero for no target.
    absl::Duration target_latency = {};
    absl::Duration estimate = {};
};

run_traits traits_of(const job_step& step);

// A run that exists, or may exist, on a worker. It occupies capacity until the worker shows that the run has
// ended.
struct placed_run {
    run_number run = 0;
    run_phase phase = run_phase::starting;
    resource_amount amount = {};
    run_traits traits = {};
    absl::Time phase_since = {};
    // When the worker responded to the order that started this phase. A poll that was sent later shows the
    // effect of the order.
    absl::Time responded_at = absl::InfiniteFuture();
    // A stop order is in progress or the worker has confirmed it. False again after a stop order that was not
    // confirmed.
    bool is_stop_sent = false;
    // The run is stopped only so that its task starts elsewhere.
    bool is_evicted = false;
    absl::Time next_stop_at = absl::InfinitePast();
    // Start of the worker's incarnation that has shown to have the run; 0 until a response shows one.
    std::int64_t worker_started_ms = 0;
    int percent = 0;
    absl::Time last_progress_at = {};
    std::int64_t load = 0;
    // When the last poll whose report listed the run was sent.
    absl::Time listed_at = absl::InfinitePast();
    // Speed to which the run was last throttled, as a percentage of its full speed.
    int speed_percent = 100;
    absl::Time speed_changed_at = absl::InfinitePast();
};

// The shard owner's view of one worker. Thread safety: none.
struct worker_state {
    worker_entry entry = {};
    // The worker directory has an entry for the worker.
    bool is_listed = true;
    // The worker responded to the last poll.
    bool is_reachable = false;
    // How much of what earlier owners left on the worker its reports to this owner have listed; nullopt
    // before the first report, with which the worker has received this owner's fencing token. What this owner
    // places is known without a report, so a worker that has been covered completely stays so until it
    // restarts.
    std::optional<report_coverage> coverage = {};
    // The VM is about to be moved or maintained, so the worker gets no new tasks.
    bool is_cordoned = false;
    // The worker stayed unreachable until the last run lease that any owner may have granted had ended.
    bool is_lease_expired = false;
    // The platform's list of VMs shows that this incarnation of the worker has terminated.
    bool is_terminated = false;
    absl::Time known_since = {};
    // Start of the incarnation that the worker's responses named last; 0 if none has named one.
    std::int64_t started_ms = 0;
    std::map<task_name, placed_run> runs = {};
    resource_amount reserved = {};
    // The part of `reserved` that long-running tasks occupy.
    resource_amount reserved_long_running = {};
    // Run ends up to last_processed_end were processed; the effects of those up to last_stored_end are
    // stored.
    std::int64_t last_processed_end = 0;
    std::int64_t last_stored_end = 0;
    worker_health health = {};
    // When the worker last had a run; decides whether its VM is still needed.
    absl::Time idle_since = {};

    resource_amount free_capacity() const { return entry.capacity - reserved; }
    bool accepts_tasks(absl::Time now) const {
        return is_listed && !is_terminated && !entry.is_draining && is_reachable && has_reported() &&
               !is_cordoned && health.accepts_tasks(now);
    }
    bool has_reported() const { return coverage.has_value(); }
    // Returns whether runs have ended on the worker whose outcome it has yet to list. This ends with a later
    // report, or with the run leases that this owner has granted if the worker becomes unreachable.
    bool has_unlisted_ends() const {
        return coverage == report_coverage::unlisted_ends && !is_lease_expired && !is_terminated;
    }
    // Returns whether every run that an earlier owner may have placed on the worker is known or has ended,
    // and the worker has no outcome to list.
    bool is_accounted_for() const {
        return coverage == report_coverage::complete || is_lease_expired || is_terminated;
    }
    // Returns whether no run exists on the worker, and no outcome that it has yet to list, according to its
    // report or because every run lease has ended.
    bool is_known_to_be_idle() const {
        const bool is_reported_idle = has_reported() && is_reachable && !has_unlisted_ends();
        return runs.empty() && (is_reported_idle || is_lease_expired || is_terminated);
    }
    // Notes how much a report covered.
    void add_coverage(report_coverage reported) {
        if (coverage != report_coverage::complete) {
            coverage = reported;
        }
    }
    int run_count_of_step(const task_name& task) const;

    void add_run(const task_name& task, const placed_run& run);
    // Returns whether the task had a run on the worker.
    bool remove_run(const task_name& task);
};

}  // namespace masticpass

#endif
