#ifndef MASTICPASS_DECISION_JOBS_JOB_TYPES_H
#define MASTICPASS_DECISION_JOBS_JOB_TYPES_H

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <absl/time/time.h>

#include "common/identifier.h"

namespace masticpass {

using job_id = identifier<struct job_id_tag>;
using queue_name = identifier<struct queue_name_tag>;
// Identifies a VM in its role as a worker. A VM that moves to another pool or is maintained gets a new id.
using worker_id = identifier<struct worker_id_tag>;

// Number of a run of a task; later runs have higher numbers.
using run_number = std::int64_t;
// Upper limit of the run numbers that come from outside, so that later numbers do not overflow.
inline constexpr run_number maximum_run_number = run_number{1} << 53;

inline bool is_run_number_in_range(run_number run) {
    return run >= 0 && run <= maximum_run_number;
}

// Increases with each new owner of a shard of jobs. Workers refuse orders with a token lower than the highest
// they have seen.
using fencing_token_value = std::int64_t;

// CPU in thousandths of a core, memory in MiB, and a number of accelerators.
struct resource_amount {
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    // Upper limit of each amount that comes from outside, so that sums over a fleet do not overflow.
    static constexpr std::int64_t maximum = 1'000'000'000;

    bool is_in_range() const {
        return std::min({cpu_millis, memory_mb, accelerators}) >= 0 &&
               std::max({cpu_millis, memory_mb, accelerators}) <= maximum;
    }
    bool fits_into(const resource_amount& capacity) const {
        return cpu_millis <= capacity.cpu_millis && memory_mb <= capacity.memory_mb &&
               accelerators <= capacity.accelerators;
    }
    resource_amount& operator+=(const resource_amount& other) {
        cpu_millis += other.cpu_millis;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }
    resource_amount& operator-=(const resource_amount& other) {
        cpu_millis -= other.cpu_millis;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }
    friend resource_amount operator-(resource_amount left, const resource_amount& right) {
        return left -= right;
    }
    friend bool operator==(const resource_amount&, const resource_amount&) = default;
};

// One step of a job: a number of identical tasks.
struct job_step {
    int task_count = 1;
    resource_amount per_task = {};
    // Duration of a task as estimated by the submitter. Often wrong by half or more.
    absl::Duration estimate = {};
    // Indexes of the earlier steps whose tasks must all be done before this step starts.
    std::vector<int> predecessors = {};
    bool is_checkpointable = false;
    // The tasks make progress only while all of them run, and end together.
    bool is_gang = false;
    // The tasks run slower if they are spread over several racks.
    bool prefers_same_rack = false;
    // Label that the worker must have; empty for none.
    std::string required_label = {};
    // Rack that holds the input data; empty for none. The tasks run slower on other racks.
    std::string preferred_rack = {};
    // Maximum number of tasks of one occurrence of the step on one worker; 0 for no limit.
    int maximum_per_worker = 0;
    // Several copies of a task may run at the same time.
    bool allows_copies = false;
    // The tasks run until the job is cancelled and are restarted whenever they end, for whatever reason.
    bool is_long_running = false;
    // Program image of the tasks; tasks with the same image behave alike.
    std::string image = {};
    // Target for the tail response time of a serving task; zero for none.
    absl::Duration target_latency = {};
    // The tasks use only CPU that other tasks leave idle, so no CPU is reserved for them.
    bool uses_idle_cpu = false;
    // How many long-running tasks of the step evictions may make unavailable at once; nullopt for the
    // default.
    std::optional<int> maximum_unavailable = {};
};

// Resources that each task of the step reserves on its worker.
resource_amount required_resources(const job_step& step);

// A job as submitted by the caller. Immutable.
struct job_specification {
    // Opaque to this system; sent to the worker with each start order.
    std::string payload = {};
    std::vector<job_step> steps = {};
    // Number of times the steps run on a schedule; 0 for a job that runs once, as soon as possible.
    int occurrences = 0;
    // Wall-clock time of the first occurrence.
    absl::Time first_due = {};
    absl::Duration interval = {};

    bool is_timed() const { return occurrences > 0; }
    int occurrence_count() const { return is_timed() ? occurrences : 1; }
    bool is_long_running() const;
};

// Identifies one task of a job.
struct task_name {
    job_id job = {};
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend bool operator==(const task_name&, const task_name&) = default;
    friend bool operator<(const task_name& left, const task_name& right) {
        return std::tie(left.job, left.occurrence, left.step, left.index) <
               std::tie(right.job, right.occurrence, right.step, right.index);
    }
    template <typename HashState>
    friend HashState AbslHashValue(HashState state, const task_name& task) {
        return HashState::combine(std::move(state), task.job, task.occurrence, task.step, task.index);
    }
};

// Job, occurrence, step and index, for example "5c0e7a21d94b36f8.0.1.17".
std::string to_string(const task_name& task);
// Parses the result of to_string(); nullopt for any other text.
std::optional<task_name> parse_task_name(std::string_view text);

enum class run_outcome { done, failed, stopped, lapsed, broken, alone };

std::string_view to_string(run_outcome outcome);

// A run that a worker reports as running.
struct listed_run {
    task_name task = {};
    run_number run = 0;
    // Latest checkpoint; empty for none.
    std::string checkpoint = {};
    int progress_percent = 0;
    // Tail response time in milliseconds for a serving task; used CPU in thousandths of a core for any other.
    std::int64_t load = 0;
};

// A run that a worker reports as ended. Sequence numbers start at 1 in each incarnation of the worker.
struct listed_end {
    std::int64_t sequence_number = 0;
    task_name task = {};
    run_number run = 0;
    run_outcome outcome = run_outcome::failed;
    std::string checkpoint = {};
};

// How much of what exists on a worker its report lists.
enum class report_coverage {
    unlisted_ends,    // More runs have ended. The worker lists them once the listed ends are acknowledged.
    unreadable_runs,  // A run could not be read, so a run that is not listed may go on.
    complete,
};

// A worker's response to a poll.
struct worker_report {
    // Start of the worker's current incarnation; 0 if the worker does not report it.
    std::int64_t started_ms = 0;
    std::vector<listed_run> running = {};
    std::vector<listed_end> ended = {};
    report_coverage coverage = report_coverage::complete;
};

// Configuration of a queue.
struct queue_rules {
    queue_name name = {};
    // Pool whose workers run the tasks of the queue.
    pool_name pool = {};
    // 0 is the highest priority.
    int priority = 0;
    int max_attempts = 1;
    // A job is on time if it ends within `stretch` times its critical path plus `target_latency`.
    double stretch = 1.0;
    absl::Duration target_latency = {};
    bool needs_advice = false;
};

// Configuration of a pool of workers.
struct worker_pool_rules {
    pool_name name = {};
    // The workers refuse starts that exceed their capacity. If false, they start every run that is ordered.
    bool workers_check_capacity = true;
    // The VMs of the pool are powered off and cost nothing.
    bool is_standby = false;
};

// A worker's registration in the directory.
struct worker_entry {
    worker_id id = {};
    pool_name pool = {};
    zone_name zone = {};
    // IP address and port.
    std::string address = {};
    resource_amount capacity = {};
    // The kind of the worker and its rack.
    std::vector<std::string> labels = {};
    bool is_draining = false;
    std::int64_t started_ms = 0;

    bool has_label(std::string_view label) const;
};

enum class job_phase { queued, running, completed, failed, cancelled };

std::string_view to_string(job_phase phase);
std::optional<job_phase> parse_job_phase(std::string_view text);

inline bool is_final(job_phase phase) {
    return phase == job_phase::completed || phase == job_phase::failed || phase == job_phase::cancelled;
}

}  // namespace masticpass

#endif
