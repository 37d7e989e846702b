// The part of shard_owner that follows the directory of workers: which workers it knows, and its sessions
// with them.

#include <utility>

#include "jobs/job_keys.h"
#include "jobs/shard_owner.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

// Interval of directory reads while no VM moves or is maintained.
constexpr absl::Duration directory_interval = absl::Milliseconds(600);
// Interval of directory reads while VMs move or are maintained, so that new workers get tasks soon.
constexpr absl::Duration busy_directory_interval = absl::Milliseconds(120);

}  // namespace

void shard_owner::directory_loop() {
    while (is_running()) {
        if (are_jobs_loaded_) {
            read_directory();
        }
        const absl::Duration interval =
            vm_controller_.is_expecting_workers() ? busy_directory_interval : directory_interval;
        if (!wait_while_running(are_jobs_loaded_ ? interval : retry_delay)) {
            return;
        }
    }
}

void shard_owner::read_directory() {
    const auto entries = dependencies_.directory.list();
    if (!entries) {
        log_event(log_severity::warning, "directory_read_failed", {{"message", entries.error()}});
        return;
    }
    std::map<worker_id, std::string> next_known_workers;
    for (const worker_entry& entry : *entries) {
        next_known_workers[entry.id] = entry.address;
    }
    // The next owner polls every worker of the stored list, so each worker is added to this list before it
    // gets a task.
    bool is_changed = false;
    std::string value;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& [id, worker] : scheduler_.workers()) {
            const auto known = known_workers_.find(id);
            if (!next_known_workers.contains(id) && known != known_workers_.end() &&
                (!worker.runs.empty() || !scheduler_.is_recovered())) {
                next_known_workers[id] = known->second;
            }
        }
        known_workers_ = std::move(next_known_workers);
        value = serialize_known_workers();
        is_changed = value != stored_known_workers_;
    }
    if (is_changed) {
        if (!writer_.write({{.key = job_keys::workers(options_.shard), .value = value}}, {})) {
            return;
        }
        stored_known_workers_ = value;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::vector<worker_id> forgotten = scheduler_.set_workers(*entries, dependencies_.time.now());
        update_sessions(*entries, forgotten);
        close_sessions_of_terminated_workers();
    }
    finish_recovery_if_due();
    request_plan();
}

void shard_owner::update_sessions(const std::vector<worker_entry>& entries,
                                  const std::vector<worker_id>& forgotten) {
    for (const worker_id& id : forgotten) {
        close_session(id);
    }
    for (const worker_entry& entry : entries) {
        open_session(entry.id, entry.address);
    }
}

void shard_owner::close_session(const worker_id& worker) {
    const auto session = sessions_.find(worker);
    if (session != sessions_.end()) {
        session->second->request_stop();
        sessions_.erase(session);
    }
}

void shard_owner::close_sessions_of_terminated_workers() {
    for (const auto& [id, worker] : scheduler_.workers()) {
        if (worker.is_terminated) {
            close_session(id);
        }
    }
}

void shard_owner::open_session(const worker_id& worker, const std::string& address) {
    const auto known = scheduler_.workers().find(worker);
    const bool is_terminated = known != scheduler_.workers().end() && known->second.is_terminated;
    if (sessions_.contains(worker) || is_terminated || has_ended_) {
        return;
    }
    const absl::Time possible_lease_end =
        scheduler_.is_recovered() ? absl::InfinitePast() : term_.granted_at + options_.limits.takeover_wait();
    sessions_[worker] = worker_session::open(
        loop_, worker, dependencies_.worker_channels.open(worker, address, loop_), ownership_, *this,
        dependencies_.time, possible_lease_end, worker_session::options{});
}

}  // namespace masticpass
