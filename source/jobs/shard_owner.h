#ifndef MASTICPASS_JOBS_SHARD_OWNER_H
#define MASTICPASS_JOBS_SHARD_OWNER_H

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <absl/time/time.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "common/clock.h"
#include "decision/jobs/job_scheduler.h"
#include "decision/jobs/poll_interval_policy.h"
#include "jobs/fenced_writer.h"
#include "jobs/job_record_writer.h"
#include "jobs/ownership.h"
#include "jobs/vm_controller.h"
#include "jobs/vm_service.h"
#include "jobs/wave_store.h"
#include "jobs/worker_channel.h"
#include "jobs/worker_session.h"
#include "store/transactional_store.h"
#include "telemetry/metrics.h"

namespace masticpass {

// Dependencies of a shard owner. All are borrowed.
struct shard_owner_dependencies {
    transactional_store& store;
    worker_channel_factory& worker_channels;
    worker_directory& directory;
    vm_service& vms;
    wave_store& waves;
    const job_rules_source& rules;
    const clock& time;
    metrics_registry& metrics;
};

// One term as the owner of a shard of jobs. It loads the accepted jobs, polls the workers for their runs,
// places tasks, stores results, and moves and maintains VMs. Its threads exit by themselves when the term
// ends. Ownership: borrows the dependencies, which must outlive it. Thread safety: all methods may be called
// from any thread.
class shard_owner final : public worker_session_listener {
public:
    struct options {
        int shard = 0;
        ownership_limits limits;
        // Time for which the records of jobs that have ended are kept.
        absl::Duration retention = absl::Seconds(120);
        // Minimum time between orders of different owners to the same VM.
        absl::Duration minimum_vm_order_interval = absl::Seconds(3);
        vm_controller_options vms;
        // CPU capacity of this VM, in cores.
        double cpu_cores = 1;
    };
    struct term {
        fenced_writer::owner_key key;
        // Number of earlier terms of the shard.
        std::int64_t number = 0;
        // A time before the lease of the term was granted.
        absl::Time granted_at = {};
    };

    shard_owner(const shard_owner_dependencies& dependencies, const options& configured, const term& granted);
    // Ends the term and waits until calls in progress have returned.
    ~shard_owner() override;

    // Returns whether the term is in force. For the owner_election, which destroys this object after the term
    // has ended; the threads of this object use is_running().
    bool is_active() const { return ownership_->is_valid() && !has_ended_; }
    // Returns the lease of the term, under which the owner's keys are stored.
    lease_id lease() const { return term_.key.lease; }
    // Returns whether a larger VM has requested the shard.
    bool is_hand_over_requested() const { return is_hand_over_requested_; }
    // Stops sending orders, stores pending results and releases the shard, so that the next owner does not
    // have to wait for the lease to expire.
    void hand_over();
    // Ends the term without further writes and without releasing the lease. Does not wait for calls in
    // progress.
    void abandon();

    void on_report(const worker_id& worker, const worker_report& report, absl::Time sent_at) override;
    void on_unreachable(const worker_id& worker, worker_error error) override;
    void on_lease_expired(const worker_id& worker) override;
    bool is_wanted(const worker_order& order) override;
    void on_start(const worker_order& order, start_outcome outcome, std::int64_t started_ms) override;
    void on_stop(const worker_order& order, bool is_confirmed, std::int64_t started_ms) override;
    void on_throttle(const worker_order& order, bool is_confirmed, std::int64_t started_ms) override;
    void on_superseded(const worker_id& worker) override;
    std::int64_t last_stored_run_end(const worker_id& worker) override;
    absl::Duration delay_after_run_ends() override {
        return poll_interval_policy_.interval(busy_worker_count_);
    }

private:
    // Delay before a call that has failed is repeated, and before a thread checks again whether the jobs are
    // loaded.
    static constexpr absl::Duration retry_delay = absl::Milliseconds(100);

    // Runs the event loop. An exception in one of its handlers ends the term; the loop runs on, so that the
    // sessions can be stopped.
    void run_event_loop();
    // The loops of the threads. They return when the term has ended. An exception in one of them ends it.
    void renew_loop();
    void input_loop();
    void directory_loop();
    void plan_loop();
    void commit_loop();
    void vm_control_loop();

    // Each returns false if the store cannot be read.
    bool load_job_records();
    bool load_known_workers();
    // Sets `revision` to that of the inputs. Also returns false if the inputs are older than `revision`.
    bool read_inputs(store_revision& revision, bool is_initial);
    void handle_hand_over_request(const std::string& key);
    // `is_initial` is true for the inputs that exist when the term begins. Precondition: mutex_ is held.
    void handle_input(const store_entry& entry, bool is_initial);
    // Reads the worker directory, stores the list of known workers if it has changed, and opens and closes
    // sessions.
    void read_directory();
    void update_sessions(const std::vector<worker_entry>& entries, const std::vector<worker_id>& forgotten);
    void open_session(const worker_id& worker, const std::string& address);
    void close_session(const worker_id& worker);
    void close_sessions_of_terminated_workers();
    // Ends the recovery when no run of an earlier owner can be unknown anymore: every worker is accounted
    // for, or all run leases of earlier owners have ended.
    void finish_recovery_if_due();
    void update_rules();
    void update_busy_worker_count();
    // Logs the state of each pool.
    void report_pools();
    // Passes the orders to the sessions of their workers. Precondition: mutex_ is held.
    void dispatch_orders(std::vector<worker_order> orders);
    void log_events(const std::vector<job_event>& events);
    // How much of what earlier owners left on the worker is known. Precondition: mutex_ is held.
    std::optional<report_coverage> coverage_of(const worker_id& worker) const;
    // Logs that the reports of a worker were incomplete, or no longer are. Precondition: mutex_ is held.
    void log_coverage_change(const worker_id& worker, std::optional<report_coverage> earlier);
    // Stores the changed records of jobs and sends the start orders that wait for them.
    void commit_batch();
    // Removes the keys of jobs that ended longer than the retention ago, and then the jobs. After an error
    // the jobs remain, and the next call tries again. Does nothing while the inputs are read.
    void remove_expired_jobs();
    void remove_obsolete_hand_over_requests();
    std::string serialize_known_workers() const;
    void request_plan();
    // Waits until the duration has passed or the term has ended. Returns false if the term has ended.
    bool wait_while_running(absl::Duration duration);
    // Returns whether the threads of this object may continue. The condition is the same as that of
    // is_active(), which is for callers.
    bool is_running() const { return !has_ended_ && ownership_->is_valid(); }
    void count(const char* name, const char* label, std::string_view value);

    const shard_owner_dependencies dependencies_;
    const options options_;
    const term term_;
    const std::shared_ptr<ownership> ownership_;
    fenced_writer writer_;
    job_record_writer record_writer_;
    std::atomic<bool> has_ended_ = false;
    std::atomic<bool> are_jobs_loaded_ = false;
    std::atomic<bool> is_hand_over_requested_ = false;
    const poll_interval_policy poll_interval_policy_;
    std::atomic<std::size_t> busy_worker_count_ = 0;

    // Held while all inputs are read and while expired jobs are removed: a job that is removed during a read
    // would be found in it and be taken for a new one. Locked before mutex_.
    std::mutex inputs_mutex_;
    // Held from taking a batch until the batch is stored, so that an older record never overwrites a newer
    // one. Locked before mutex_.
    std::mutex batch_mutex_;
    mutable std::mutex mutex_;
    std::condition_variable ended_;
    std::condition_variable plan_needed_;
    std::condition_variable commit_needed_;
    // The members from here to next_removal_ are guarded by mutex_, except where stated otherwise.
    job_scheduler scheduler_;
    std::map<worker_id, std::shared_ptr<worker_session>> sessions_;
    // Addresses of the workers on which runs may be placed. A worker is stored in the list of known workers
    // before the first run is placed on it.
    std::map<worker_id, std::string> known_workers_;
    // The list of known workers as it was last stored. Used by the input thread until the jobs are loaded,
    // and by the directory thread afterwards.
    std::string stored_known_workers_;
    // Job records that earlier owners stored; empty after all jobs have been loaded.
    std::map<job_id, std::string> loaded_records_;
    // Accepted jobs that do not run in this term, because how far they have come could not be read.
    std::set<job_id> jobs_with_unreadable_record_;
    std::int64_t next_job_number_ = 0;
    // Keys of hand-over requests to earlier owners, which are to be removed.
    std::set<std::string> obsolete_hand_over_requests_;
    bool must_plan_ = false;
    bool must_commit_ = false;
    std::int64_t rules_version_ = -1;
    absl::Time next_full_commit_ = absl::InfinitePast();
    // Used only by the VM control thread.
    absl::Time next_pool_report_ = absl::InfinitePast();
    absl::Time next_removal_ = absl::InfinitePast();

    vm_controller vm_controller_;
    // Event loop for the calls to all workers. It runs on `loop_thread_`.
    boost::asio::io_context loop_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> loop_work_;
    std::thread loop_thread_;
    std::vector<std::thread> threads_;
};

}  // namespace masticpass

#endif
