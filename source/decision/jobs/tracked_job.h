#ifndef MASTICPASS_DECISION_JOBS_TRACKED_JOB_H
#define MASTICPASS_DECISION_JOBS_TRACKED_JOB_H

#include <algorithm>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "decision/jobs/job_types.h"

namespace masticpass {

enum class task_phase {
    waiting,  // No run exists or may exist; the task may start when its step is ready.
    placed,   // A run was planned on a worker and may exist until the worker reports its end.
    done,
};

struct tracked_task {
    task_phase phase = task_phase::waiting;
    // Highest run number that is known to be used. While the task is placed, an earlier owner may have used
    // higher numbers than that of the placed run.
    run_number last_run_number = 0;
    // The run that was placed. Has no meaning unless the task is placed.
    run_number placed_run = 0;
    // Failed runs. Each run counts once, however often its failure is reported.
    std::set<run_number> failed_runs = {};
    worker_id last_failed_worker = {};
    std::string checkpoint = {};
    // A long-running task is ready once its worker reports a progress of 100 percent.
    bool is_ready = false;

    void place(run_number run);
    bool is_placed_as(run_number run) const { return phase == task_phase::placed && placed_run == run; }
    void return_to_waiting();
};

struct tracked_step {
    std::vector<tracked_task> tasks = {};
    int done_count = 0;

    bool is_done() const { return done_count == static_cast<int>(tasks.size()); }
};

struct tracked_occurrence {
    int number = 0;
    // On the owner's monotonic clock. Unknown until this owner finds the occurrence due; an earlier owner may
    // have started tasks of it before that.
    std::optional<absl::Time> due = {};
    std::vector<tracked_step> steps = {};

    bool is_due(absl::Time now) const { return due && *due <= now; }
    bool is_done() const;
};

// The state of a job that is stored for later owners: its phase, the tasks that are done, the failed runs of
// the others, and the highest run number.
struct job_record {
    job_phase phase = job_phase::queued;
    bool is_timed = false;
    // Wall-clock time of the end; the record is removed some time after it.
    absl::Time ended_at = {};

    struct step_progress {
        int occurrence = 0;
        int step = 0;
        std::vector<int> done = {};
        struct failure {
            int index = 0;
            run_number run = 0;
        };
        std::vector<failure> failures = {};
    };
    std::vector<step_progress> steps = {};
    // No run of the job that was ordered has a higher number. Stored before a run is ordered, so that a new
    // owner uses higher numbers. 0 in records of earlier versions.
    run_number last_run_number = 0;
    // Every worker on which a run of the job may exist. Stored before a run is ordered there, so that a new
    // owner waits only for these workers.
    std::vector<worker_id> workers = {};
};

// The state of one accepted job on its owner.
// Ownership: owns its specification. Thread safety: none.
class tracked_job {
public:
    struct origin {
        queue_name queue = {};
        // Time at which this owner learned of the job, on its monotonic clock.
        absl::Time accepted_at = {};
        // Position in the order in which the owner learned of its jobs.
        std::int64_t sequence_number = 0;
        // An earlier owner may have started tasks.
        bool is_inherited = false;
        // First run number that this owner uses.
        run_number first_run_number = 1;
    };

    tracked_job(job_id id, job_specification specification, origin job_origin);

    const job_id& id() const { return id_; }
    const origin& job_origin() const { return origin_; }
    const job_specification& specification() const { return specification_; }
    job_phase phase() const { return phase_; }
    bool is_final() const { return masticpass::is_final(phase_); }
    absl::Time ended_at() const { return ended_at_; }

    // Restores the state that an earlier owner stored. Entries that do not match the specification are
    // ignored.
    void restore(const job_record& record);
    job_record record() const;

    // Creates the occurrences that are due at `now`, unless they exist, and sets their due times. `first_due`
    // is the due time of the first one on the monotonic clock.
    void create_due_occurrences(absl::Time first_due, absl::Time now);
    // Sorted by number. They include those whose tasks an earlier owner has started, due or not.
    std::span<tracked_occurrence> occurrences() { return occurrences_; }
    // Workers on which an earlier owner may have placed runs.
    std::span<const worker_id> inherited_workers() const { return inherited_workers_; }
    // The record of an earlier owner was restored.
    bool is_restored() const { return is_restored_; }

    // Null if the job has no such task or its occurrence has not been created.
    tracked_task* find_task(const task_name& task);
    // Returns the task of a run that a worker reports or a record lists; null if the job has no such task.
    // The run shows that an owner found the occurrence due, so the occurrence is created unless it exists.
    tracked_task* find_started_task(const task_name& task);
    run_number next_run_number(const tracked_task& task) const {
        return std::max({task.last_run_number + 1, inherited_last_run_number_ + 1, origin_.first_run_number});
    }
    // Notes that a run of the job with this number was ordered. Returns whether the stored record must be
    // updated.
    bool record_run_number(run_number run);
    const job_step& step_of(const task_name& task) const {
        return specification_.steps[static_cast<std::size_t>(task.step)];
    }
    // Whether all predecessors of the step are done.
    bool is_step_ready(const tracked_occurrence& occurrence, int step) const;

    // Each returns whether the stored record must be updated.
    bool record_started();
    bool record_completed(const task_name& task);
    bool record_failure(const task_name& task, run_number run, int max_attempts);
    void finish(job_phase phase) { phase_ = phase; }
    void set_ended_at(absl::Time wall_clock_time) { ended_at_ = wall_clock_time; }

    // Frees the specification and the tasks of a job that has ended.
    void discard_details();

    // Longest sum of estimated durations along the dependencies of the steps.
    absl::Duration critical_path() const { return critical_path_; }
    // The critical path of the steps that are not done.
    absl::Duration remaining_critical_path() const;
    // Estimated CPU time of the tasks that are not done, in core-seconds.
    double remaining_core_seconds() const;

private:
    bool has_task(const task_name& task) const;
    // Null if it has not been created.
    tracked_occurrence* find_occurrence(int number);
    tracked_occurrence& find_or_create_occurrence(int number);
    bool is_complete() const;
    // The critical path of the steps that are not done in the occurrence; of all steps if it is null.
    absl::Duration critical_path_of(const tracked_occurrence* occurrence) const;

    const job_id id_;
    job_specification specification_;
    const origin origin_;
    job_phase phase_ = job_phase::queued;
    absl::Time ended_at_ = absl::InfiniteFuture();
    std::vector<tracked_occurrence> occurrences_;
    // The first occurrence that this owner has not found due.
    int next_due_occurrence_ = 0;
    std::vector<worker_id> inherited_workers_;
    bool is_restored_ = false;
    // Highest run number that earlier owners stored.
    run_number inherited_last_run_number_ = 0;
    // Highest run number of any task.
    run_number last_run_number_ = 0;
    absl::Duration critical_path_;
};

}  // namespace masticpass

#endif
