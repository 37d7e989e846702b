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

// An order to a worker.
struct worker_order {
    enum class order_kind { start, stop, throttle };

    order_kind kind = order_kind::start;
    worker_id worker = {};
    task_name task = {};
    run_number run = 0;
    // Of a start.
    std::string payload = {};
    std::string checkpoint = {};
    // Of a pace order: the share of its speed at which the run works.
    int speed_percent = 100;
};

// What became of a start.
enum class start_outcome {
    accepted,
    not_sent,   // The order never left this machine.
    no_room,    // The worker refused it for want of room.
    unhealthy,  // The worker refused everything for now.
    refused,    // Any other refusal; the run does not exist and never will.
    unknown,    // No answer. The run may exist, now or later.
};

std::string_view to_string(start_outcome outcome);

// A decision for the log.
struct job_event {
    std::string_view name;
    job_id job = {};
    std::vector<std::pair<std::string_view, std::string>> fields = {};
};

// Which of the changed records a batch has.
enum class batch_scope {
    urgent,  // Those that starts wait for, and those of jobs that ended. Acknowledges nothing.
    all,
};

// Records to store, and the ends that may be acknowledged to workers once they are stored.
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
    // A run whose worker the records name, so that it may be ordered.
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

// What a pool's queues ask for, and what is placed.
struct pool_load {
    // Of tasks that may start now and found no room.
    resource_amount waiting_resources = {};
    int waiting_tasks = 0;
    // The same as estimated work.
    double waiting_core_seconds = 0;
    // Further workers that waiting tasks need because of limits on the tasks of one step on one worker.
    int additional_workers = 0;
    // Of everything that is placed, and of the lasting part of it.
    resource_amount placed_resources = {};
    resource_amount placed_long_running_resources = {};
    // Estimated work of all jobs that the owner took in, without lasting ones. Only grows.
    double arrived_core_seconds = 0;
    std::int64_t arrived_jobs = 0;
};

// The decisions of the owner of one shard of jobs: which task starts when and where, what must be stopped,
// what an end means, and what must be stored before an end is acknowledged. Holds no clock, thread or socket:
// times are arguments on one monotonic clock. At most one run of a task exists: the next run starts only
// after the worker of the last one has shown that it is gone, or every lease that can hold it has ended.
// Ownership: owns all jobs and workers that it knows. Thread safety: none.
class job_scheduler {
public:
    struct options {
        // Runs of inherited jobs are numbered from here on, above all that earlier owners used.
        run_number first_inherited_run_number = 1;
        // A stop that was not answered is sent again after this time.
        absl::Duration stop_retry_interval = absl::Milliseconds(300);
        // A run whose progress stands still for so long, and for several times its estimate, is started anew
        // elsewhere.
        absl::Duration stuck_timeout = absl::Milliseconds(2500);
    };

    explicit job_scheduler(const options& configured) : options_(configured) {}

    void set_rules(std::span<const queue_rules> queues, std::span<const worker_pool_rules> pools);

    // Replaces the directory's entries. Workers that are not listed any more get no tasks. Returns the
    // workers that were forgotten.
    std::vector<worker_id> set_workers(std::span<const worker_entry> entries, absl::Time now);

    // Adds workers on which an earlier owner may have placed runs. They registered before this owner began.
    void add_inherited_workers(std::span<const worker_entry> entries);

    // Adds a job that was accepted. Jobs that are known already are left as they are.
    void add_job(const job_id& id, accepted_job job, tracked_job::origin job_origin,
                 const job_record* record);
    bool knows_job(const job_id& id) const { return jobs_.contains(id); }
    // Ends a job. Its tasks are stopped. No effect on a job that has ended.
    void cancel_job(const job_id& id);

    // A worker answered a look that was sent at `sent_at`. Returns whether a plan may now find more to do.
    bool note_report(const worker_id& worker, const worker_report& report, absl::Time sent_at,
                     absl::Time now);
    // A worker did not answer a look.
    void note_unreachable(const worker_id& worker);
    // Every lease that can hold runs on the worker has ended.
    void note_lease_expired(const worker_id& worker, absl::Time now);
    // The worker's life is over, and so are its runs.
    void note_terminated(const worker_id& worker, absl::Time now);
    // From here on tasks of inherited jobs that no worker reported may start.
    void note_recovered(absl::Time now);
    bool is_recovered() const { return is_recovered_; }
    // Every worker has reported or lapsed since this owner began.
    bool is_every_worker_accounted_for() const;

    void note_start_outcome(const worker_order& order, start_outcome outcome, absl::Time now);
    void note_stop_answer(const worker_order& order, bool is_answered, absl::Time now);
    void note_throttle_answer(const worker_order& order, bool is_answered);

    // Stops and paces to order now, and starts that the next batch makes known. `calendar_offset` is the
    // calendar time less `now`.
    std::vector<worker_order> plan(absl::Time now, absl::Duration wall_clock_offset);

    // Keeps new tasks off a worker whose VM is about to be moved or maintained, or opens it again.
    void set_cordoned(const worker_id& worker, bool is_cordoned);
    // Stops lasting tasks on the worker, so that they start elsewhere, as far as their steps can miss them
    // now. Returns whether any was stopped.
    bool evict_long_running_tasks(const worker_id& worker, absl::Time now);
    // Stops all tasks on the worker that are not lasting.
    void evict_finite_tasks(const worker_id& worker);

    bool has_changes() const { return !changed_jobs_.empty(); }
    // Takes the changed records. The next batch is taken after this one was confirmed.
    record_batch take_batch(absl::Time wall_clock_now, batch_scope scope = batch_scope::all);
    // Returns the starts to order now.
    std::vector<worker_order> confirm_batch(const record_batch& batch, bool is_stored);

    // Jobs that ended before this calendar time, at most `limit`; forgets them.
    std::vector<std::pair<job_id, queue_name>> take_expired(absl::Time ended_before, std::size_t limit);

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
    // The run that the order is about, if it is still placed.
    placed_run* find_run(const worker_order& order);
    const queue_rules* rules_of(const tracked_job& job) const;
    void log(std::string_view event, const job_id& job,
             std::vector<std::pair<std::string_view, std::string>> fields);

    void add_run(worker_state& worker, const task_name& task, const placed_run& run);
    void remove_run(worker_state& worker, const task_name& task);
    void begin_incarnation(worker_state& worker, std::int64_t started_ms, absl::Time now);
    void note_running(worker_state& worker, const listed_run& run, absl::Time sent_at, absl::Time now);
    void note_end(worker_state& worker, const listed_end& end, absl::Time now);
    // Returns whether a run was absent.
    bool release_absent_runs(worker_state& worker, const worker_report& report, absl::Time sent_at,
                             absl::Time now);
    // The run on the worker is gone without a result. The task may start again.
    void release_lost_run(worker_state& worker, const task_name& task, std::string_view reason,
                          absl::Time now);
    void release_all_runs(worker_state& worker, std::string_view reason, absl::Time now);
    void return_to_waiting(const task_name& task, run_number run, absl::Time now);
    void stop_other_runs(const task_name& task);
    void stop_runs_of(const tracked_job& job);
    void process_job_change(tracked_job& job);

    void plan_stops(absl::Time now, std::vector<worker_order>& orders);
    void stop_stuck_runs(absl::Time now);
    void plan_throttles(absl::Time now, std::vector<worker_order>& orders);
    void plan_starts(absl::Time now, absl::Duration wall_clock_offset);
    void add_worker_load(const worker_state& worker);
    std::vector<candidate> sorted_candidates(absl::Time now, absl::Duration wall_clock_offset);
    // Each returns whether tasks whose turn has come still wait.
    bool place_job(const candidate& next, absl::Time now);
    bool place_step(const candidate& next, tracked_occurrence& occurrence, int step, absl::Time now);
    // No worker of the pool had room for tasks that need as much or less, earlier in this plan.
    bool is_known_unplaceable(const pool_name& pool, const job_step& step) const;
    worker_state* choose_worker(const candidate& next, const task_name& task, const tracked_task& state,
                                const std::vector<placement>& pending, absl::Time now);
    void plan_start(worker_state& worker, tracked_job& job, const task_name& task, run_number run,
                    absl::Time now);
    // Takes the jobs of the scope out of those that changed.
    std::vector<job_id> take_changed_jobs(batch_scope scope);
    // The start was neither ordered nor given up.
    bool is_still_planned(const record_batch::planned_start& start) const;
    worker_order make_start_order(const record_batch::planned_start& start);
    // A task of the job has begun on a worker.
    void note_task_started(const job_id& id);
    // Ends a run that is not wanted any more.
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
    // Starts whose records are not stored yet.
    std::vector<record_batch::planned_start> planned_starts_;
    struct unplaceable_demand {
        resource_amount amount = {};
        std::string label = {};
    };
    // What did not fit in the present plan.
    std::map<pool_name, std::vector<unplaceable_demand>> unplaceable_demands_;
    std::set<job_id> changed_jobs_;
    std::vector<job_event> events_;
    bool is_recovered_ = false;
};

}  // namespace masticpass

#endif
