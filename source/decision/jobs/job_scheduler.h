#ifndef MASTICPASS_DECISION_JOBS_JOB_SCHEDULER_H
#define MASTICPASS_DECISION_JOBS_JOB_SCHEDULER_H

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/time/time.h>

#include "decision/jobs/job_json.h"
#include "decision/jobs/job_types.h"
#include "decision/jobs/run_locations.h"
#include "decision/jobs/tracked_job.h"
#include "decision/jobs/worker_state.h"

namespace masticpass {

// An order that the owner sends to a worker.
struct worker_order {
    enum class order_kind { start, stop, throttle };

    order_kind kind = order_kind::start;
    worker_id worker = {};
    task_name task = {};
    run_number run = 0;
    // Only in start orders.
    std::string payload = {};
    std::string checkpoint = {};
    // Only in throttle orders: the share of its full speed at which the run may work.
    int speed_percent = 100;
    // Start of the worker's last known incarnation when the order was planned; 0 if none was known.
    std::int64_t worker_started_ms = 0;
};

// The outcome of a start order.
enum class start_outcome {
    accepted,
    not_sent,               // The order was not sent to the worker.
    insufficient_capacity,  // The worker refused it because it has too little free capacity.
    unhealthy,              // The worker refuses all starts at present.
    refused,                // Any other refusal; the run does not exist and will not be created.
    unknown,                // No response. The run may exist already or be created later.
};

std::string_view to_string(start_outcome outcome);

// A decision that is logged and counted in the metrics.
struct job_event {
    std::string_view name;
    job_id job = {};
    std::vector<std::pair<std::string_view, std::string>> fields = {};
};

// Selects the changed records that a batch contains.
enum class batch_scope {
    urgent,  // Records that starts wait for and records of ended jobs. Acknowledges no run ends.
    all,
};

// Records to store, with the starts and the acknowledgements of run ends that may be sent once they are
// stored.
struct record_batch {
    struct update {
        job_id job = {};
        queue_name queue = {};
        std::string record = {};
    };
    struct acknowledgement {
        worker_id worker = {};
        std::int64_t started_ms = 0;
        std::int64_t last_end_number = 0;
    };
    // A run that may be ordered once the records, which name its worker, are stored.
    struct planned_start {
        worker_id worker;
        task_name task;
        run_number run = 0;
    };
    std::vector<update> updates = {};
    std::vector<planned_start> starts = {};
    std::vector<acknowledgement> acknowledgements = {};

    bool is_empty() const { return updates.empty() && starts.empty() && acknowledgements.empty(); }
};

// Demand of the queues of one pool, and the resources of the runs that are placed in it.
struct pool_load {
    // Demand of the tasks that could start now but fit on no worker.
    resource_amount waiting_resources = {};
    int waiting_tasks = 0;
    // The same demand as estimated CPU time.
    double waiting_core_seconds = 0;
    // Workers needed beyond the current ones because steps limit the number of their tasks on one worker.
    int additional_workers = 0;
    // Resources of all placed runs, and of the long-running ones among them.
    resource_amount placed_resources = {};
    resource_amount placed_long_running_resources = {};
    // Estimated CPU time of all jobs added to this owner except long-running ones. Never decreases.
    double arrived_core_seconds = 0;
    std::int64_t arrived_jobs = 0;
};

// Schedules the jobs of one shard for the owner of the shard: decides when and on which worker each task
// starts, which runs are stopped, how the end of a run changes its job, and which records must be stored
// before a run end is acknowledged. Has no clock, threads or sockets: callers pass times of one monotonic
// clock. At most one run of a task exists at a time: the next run starts only after the worker has reported
// that the previous run has ended, or after every lease that allows the previous run has expired.
// Ownership: owns all jobs and worker states. Thread safety: none.
class job_scheduler {
public:
    struct options {
        // Lowest run number for inherited jobs. Their records raise it if earlier owners used higher ones.
        run_number first_inherited_run_number = 1;
        // Interval after which a stop order without a response is sent again.
        absl::Duration stop_retry_interval = absl::Milliseconds(300);
        // A run that makes no progress for this time, and for an eighth of its estimated duration, is
        // stopped. Its task starts again on another worker, since this one is quarantined.
        absl::Duration stuck_timeout = absl::Milliseconds(2500);
    };

    explicit job_scheduler(const options& configured) : options_(configured) {}

    void set_rules(std::span<const queue_rules> queues, std::span<const worker_pool_rules> pools);

    // Replaces the worker entries read from the directory. Workers that are no longer listed get no tasks.
    // An entry never ends a run, whatever start it names, because other programs may write entries too.
    // Returns the workers whose state was removed.
    std::vector<worker_id> set_workers(std::span<const worker_entry> entries, absl::Time now);

    // Adds workers on which an earlier owner may have placed runs. They registered before this owner started.
    void add_inherited_workers(std::span<const worker_entry> entries);

    // Adds an accepted job. No effect if the job is already known.
    void add_job(const job_id& id, accepted_job job, tracked_job::origin job_origin,
                 const job_record* record);
    bool knows_job(const job_id& id) const { return jobs_.contains(id); }
    // Cancels a job and stops its runs. No effect on a job that has ended.
    void cancel_job(const job_id& id);

    // Processes a worker's response to a poll that was sent at `sent_at`. Returns whether a new plan may
    // start or stop more runs.
    bool handle_report(const worker_id& worker, const worker_report& report, absl::Time sent_at,
                       absl::Time now);
    // A worker did not respond to a poll.
    void handle_unreachable(const worker_id& worker);
    // Every lease under which the worker may keep runs has expired.
    void handle_lease_expired(const worker_id& worker, absl::Time now);
    // The worker's incarnation has terminated, and its runs with it.
    void handle_terminated(const worker_id& worker, absl::Time now);
    // Ends the recovery after a change of owner: from now on, tasks of inherited jobs that no worker reported
    // may start.
    void finish_recovery(absl::Time now);
    bool is_recovered() const { return is_recovered_; }
    // Returns whether no run of an earlier owner, and no outcome of one, can still be unknown: since this
    // owner started, each worker has listed all of them, its leases have expired or it has terminated. If
    // `have_earlier_leases_expired`, a worker that has not reported has none.
    bool can_finish_recovery(bool have_earlier_leases_expired) const;

    // Returns whether an order that was planned earlier is still to be sent. Load pattern: many jobs are
    // cancelled, or tasks of a step become unavailable, while orders wait behind others that workers leave
    // unanswered.
    bool is_wanted(const worker_order& order);
    // Process the outcome of an order. `started_ms` is the start of the worker's incarnation that responded;
    // 0 if there was no response or it names none. A response of an incarnation before the known one changes
    // nothing. A response of a later one shows that the worker has restarted.
    void handle_start_outcome(const worker_order& order, start_outcome outcome, absl::Time now,
                              std::int64_t started_ms = 0);
    void handle_stop_response(const worker_order& order, bool is_confirmed, absl::Time now,
                              std::int64_t started_ms = 0);
    void handle_throttle_response(const worker_order& order, bool is_confirmed, absl::Time now,
                                  std::int64_t started_ms = 0);

    // Returns the stop and throttle orders to send now, and plans starts, which confirm_batch() returns once
    // their records are stored. `wall_clock_offset` is the wall-clock time minus `now`.
    std::vector<worker_order> plan(absl::Time now, absl::Duration wall_clock_offset);

    // Sets whether new tasks are kept off the worker, for a VM that is about to be moved or maintained.
    void set_cordoned(const worker_id& worker, bool is_cordoned);
    // Stops long-running tasks on the worker so that they start elsewhere, within the number of unavailable
    // tasks that each step allows. Returns whether any task was stopped.
    bool evict_long_running_tasks(const worker_id& worker, absl::Time now);
    // Stops all tasks on the worker that are not long-running.
    void evict_finite_tasks(const worker_id& worker);

    bool has_changes() const { return !changed_jobs_.empty(); }
    // Returns the changed records as a batch. The batch must be confirmed before the next one is taken.
    record_batch take_batch(absl::Time wall_clock_now, batch_scope scope = batch_scope::all);
    // Reports whether the batch was stored. Returns the start orders to send now.
    std::vector<worker_order> confirm_batch(const record_batch& batch, bool is_stored);

    // Returns at most `limit` jobs that ended before this wall-clock time and whose records are not about to
    // be stored.
    std::vector<std::pair<job_id, queue_name>> expired_jobs(absl::Time ended_before, std::size_t limit) const;
    // Removes a job that has ended. Its keys must have been removed from the store before: a job whose keys
    // are found again would be taken for a new one.
    void remove_job(const job_id& id);

    std::vector<job_event> take_events() { return std::exchange(events_, {}); }

    const std::map<worker_id, worker_state>& workers() const { return workers_; }
    const std::map<pool_name, pool_load>& loads() const { return loads_; }
    const tracked_job* find_job(const job_id& id) const;
    std::size_t job_count() const { return jobs_.size(); }

private:
    struct candidate;
    struct placement;

    worker_state* find_worker(const worker_id& worker);
    tracked_job* find(const job_id& id);
    // The run that the order refers to; null if it is no longer placed.
    placed_run* find_run(const worker_order& order);
    const queue_rules* rules_of(const tracked_job& job) const;
    void log(std::string_view event, const job_id& job,
             std::vector<std::pair<std::string_view, std::string>> fields);

    void add_run(worker_state& worker, const task_name& task, const placed_run& run);
    void remove_run(worker_state& worker, const task_name& task);
    // Compares the incarnation that a response names with the known one, and begins it if it is later.
    // Returns false for a response of an earlier one, which must have no effect.
    bool admit_response(worker_state& worker, std::int64_t started_ms, absl::Time now);
    void begin_incarnation(worker_state& worker, std::int64_t started_ms, absl::Time now);
    // Releases the runs that ended with the earlier incarnation of the worker.
    void release_runs_of_earlier_incarnation(worker_state& worker, absl::Time now);
    void handle_listed_run(worker_state& worker, const listed_run& run, absl::Time sent_at, absl::Time now);
    void handle_listed_end(worker_state& worker, const listed_end& end, absl::Time now);
    // Releases runs that a complete report should list but does not. Returns whether there were any.
    bool release_absent_runs(worker_state& worker, const worker_report& report, absl::Time sent_at,
                             absl::Time now);
    // Removes a run that has ended without a result, so that the task may start again.
    void release_lost_run(worker_state& worker, const task_name& task, std::string_view reason,
                          absl::Time now);
    void release_all_runs(worker_state& worker, std::string_view reason, absl::Time now);
    void return_to_waiting(const task_name& task, run_number run);
    void stop_other_runs(const task_name& task);
    // Returns whether the long-running task may become unavailable without exceeding the limit of its step.
    static bool may_evict(tracked_job& job, const task_name& task);
    void stop_runs_of(const tracked_job& job);
    void process_job_change(tracked_job& job);

    void plan_stops(absl::Time now, std::vector<worker_order>& orders);
    void stop_stuck_runs(absl::Time now);
    void plan_throttles(absl::Time now, std::vector<worker_order>& orders);
    void plan_starts(absl::Time now, absl::Duration wall_clock_offset);
    void add_worker_load(const worker_state& worker);
    std::vector<candidate> sorted_candidates(absl::Time now, absl::Duration wall_clock_offset);
    // Each returns whether tasks that are ready to start are still waiting.
    bool place_job(const candidate& next, absl::Time now);
    bool place_step(const candidate& next, tracked_occurrence& occurrence, int step, absl::Time now);
    // Earlier in this plan, no worker of the pool had enough free capacity for a task that needs as much or
    // less.
    bool is_known_unplaceable(const pool_name& pool, const job_step& step) const;
    worker_state* choose_worker(const candidate& next, const task_name& task, const tracked_task& state,
                                const std::vector<placement>& pending, absl::Time now);
    void plan_start(worker_state& worker, tracked_job& job, const task_name& task, run_number run,
                    absl::Time now);
    // Removes the changed jobs that belong to the scope and returns them.
    std::vector<job_id> take_changed_jobs(batch_scope scope);
    // The start has been neither ordered nor abandoned.
    bool is_still_planned(const record_batch::planned_start& start) const;
    worker_order make_start_order(const record_batch::planned_start& start);
    // A task of the job has started on a worker.
    void record_task_started(const job_id& id);
    // A run of the job with this number was ordered.
    void record_run_number(tracked_job& job, run_number run);
    // Stops a run that is no longer needed.
    void stop_run(worker_state& worker, const task_name& task);
    std::string record_of(const tracked_job& job) const;
    bool may_start(const tracked_job& job) const;

    const options options_;
    std::map<queue_name, queue_rules> queues_;
    std::map<pool_name, worker_pool_rules> pools_;
    std::map<job_id, std::unique_ptr<tracked_job>> jobs_;
    std::map<worker_id, worker_state> workers_;
    std::map<pool_name, pool_load> loads_;
    struct arrivals {
        double core_seconds = 0;
        std::int64_t jobs = 0;
    };
    std::map<pool_name, arrivals> arrivals_;
    std::map<pool_name, std::vector<worker_state*>> workers_of_pool_;
    std::set<job_id> active_jobs_;
    // Active jobs that may have tasks to start.
    std::set<job_id> waiting_jobs_;
    run_locations locations_;
    // Starts whose records are not yet stored.
    std::vector<record_batch::planned_start> planned_starts_;
    struct unplaceable_demand {
        resource_amount amount = {};
        std::string label = {};
    };
    // Demand that could not be placed in the current plan.
    std::map<pool_name, std::vector<unplaceable_demand>> unplaceable_demands_;
    std::set<job_id> changed_jobs_;
    std::vector<job_event> events_;
    bool is_recovered_ = false;
};

}  // namespace masticpass

#endif
