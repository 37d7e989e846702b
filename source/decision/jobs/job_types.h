#ifndef MASTICPASS_DECISION_JOBS_JOB_TYPES_H
#define MASTICPASS_DECISION_JOBS_JOB_TYPES_H

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
// Names one life of a VM as a worker. A VM that moves to another pool or is maintained gets a new one.
using worker_id = identifier<struct worker_id_tag>;

// Numbers the starts of one task; later starts have higher numbers.
using run_number = std::int64_t;
// Rises with each owner of a shard of jobs. Workers refuse orders with a lower token than they have seen.
using fencing_token = std::int64_t;

// Processor in thousandths of a core, memory in MiB, and accelerators.
struct resource_amount {
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool fits_into(const resource_amount& room) const {
        return cpu_millis <= room.cpu_millis && memory_mb <= room.memory_mb &&
               accelerators <= room.accelerators;
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

// One step of a job: tasks that are alike.
struct job_step {
    int task_count = 1;
    resource_amount per_task = {};
    // What the submitter expects a task to take. Often off by half and more.
    absl::Duration estimate = {};
    // Earlier steps whose tasks must all be done first.
    std::vector<int> predecessors = {};
    bool is_checkpointable = false;
    // The tasks work only while all of them run, and end together.
    bool is_gang = false;
    // The tasks run slower when they are spread over several racks.
    bool prefers_same_rack = false;
    // Label that a worker must have; empty for none.
    std::string required_label = {};
    // Rack that holds the input; empty for none. Elsewhere the tasks run slower.
    std::string preferred_rack = {};
    // At most this many tasks of one occurrence of the step on one worker; 0 for no limit.
    int maximum_per_worker = 0;
    // Copies of a task may run at the same time.
    bool allows_copies = false;
    // The tasks serve until the job is cancelled and are started again however they end.
    bool is_long_running = false;
    // What the tasks run; tasks with the same image behave alike.
    std::string image = {};
    // Limit for the tail of the response times of a task that serves; zero for none.
    absl::Duration target_latency = {};
    // The tasks use the processor that other tasks leave, and their processor needs no room.
    bool uses_idle_cpu = false;
    // So many lasting tasks may be away at once because of orders of this system; nullopt for no limit.
    std::optional<int> maximum_unavailable = {};
};

// Room that each task of the step needs on its worker.
resource_amount required_resources(const job_step& step);

// What a caller submits. Does not change afterwards.
struct job_specification {
    // Opaque to this system; handed to the workers with each start.
    std::string payload = {};
    std::vector<job_step> steps = {};
    // How often the steps run. 0 for a job that runs once, as soon as possible.
    int occurrences = 0;
    // Calendar time of the first occurrence.
    absl::Time first_due = {};
    absl::Duration interval = {};

    bool is_timed() const { return occurrences > 0; }
    int occurrence_count() const { return is_timed() ? occurrences : 1; }
    bool is_long_running() const;
};

// Names one task of a job.
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

// For example "5c0e7a21d94b36f8.0.1.17": job, occurrence, step and index.
std::string to_string(const task_name& task);
// Reads what to_string writes; nullopt for any other text.
std::optional<task_name> parse_task_name(std::string_view text);

enum class run_outcome { done, failed, stopped, lapsed, broken, alone };

std::string_view to_string(run_outcome outcome);

// A run that a worker lists as running.
struct listed_run {
    task_name task = {};
    run_number run = 0;
    // Newest checkpoint; empty for none.
    std::string checkpoint = {};
    int progress_percent = 0;
    // Of a task that serves: the tail of its response times in milliseconds. Of any other: used processor in
    // thousandths of a core.
    std::int64_t load = 0;
};

// A run that a worker lists as ended. Numbers start at 1 in each life of the worker.
struct listed_end {
    std::int64_t sequence_number = 0;
    task_name task = {};
    run_number run = 0;
    run_outcome outcome = run_outcome::failed;
    std::string checkpoint = {};
};

// What a worker answers to a look.
struct worker_report {
    // Start of the worker's present life; 0 if it does not say.
    std::int64_t started_ms = 0;
    std::vector<listed_run> running = {};
    std::vector<listed_end> ended = {};
    // The worker has more ends than it listed.
    bool is_partial = false;
};

// What the configuration says of a queue.
struct queue_rules {
    queue_name name = {};
    // Pool whose workers run the queue's tasks.
    pool_name pool = {};
    // 0 goes first.
    int priority = 0;
    int max_attempts = 1;
    // A job is on time if it ends within `stretch` times its longest chain of work, and `target_latency`.
    double stretch = 1.0;
    absl::Duration target_latency = {};
    bool needs_advice = false;
};

// What the configuration says of a pool of workers.
struct worker_pool_rules {
    pool_name name = {};
    // The workers refuse what does not fit. Otherwise they start whatever they are told to.
    bool workers_check_capacity = true;
    // The pool's VMs are off and cost nothing.
    bool is_standby = false;
};

// What a worker says of itself in the directory.
struct worker_entry {
    worker_id id = {};
    pool_name pool = {};
    zone_name zone = {};
    // IP address and port.
    std::string address = {};
    resource_amount capacity = {};
    // Its kind and its rack.
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
