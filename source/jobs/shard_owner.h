#ifndef MASTICPASS_JOBS_SHARD_OWNER_H
#define MASTICPASS_JOBS_SHARD_OWNER_H

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
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

// One term as the owner of a shard of jobs: loads the accepted jobs, polls the workers for what they run,
// places tasks, stores results, and moves and maintains VMs. Its threads exit by themselves when the term
// ends. Ownership: borrows the dependencies, which must outlive it. Thread safety: all methods may be called
// from any thread.
class shard_owner final : public worker_session_listener {
public:
    struct options {
        int shard = 0;
        ownership_limits limits;
        // Retention of the records of jobs that have ended.
        absl::Duration retention = absl::Seconds(120);
        // Minimum time between orders of different owners to the same VM.
        absl::Duration minimum_vm_order_interval = absl::Seconds(3);
        vm_controller_options vms;
        // CPU capacity of this VM.
        double cpu_cores = 1;
    };
    struct term {
        fenced_writer::owner_key key;
        // Number of earlier owners of the shard.
        std::int64_t number = 0;
        absl::Time granted_at = {};
    };

    shard_owner(const shard_owner_dependencies& dependencies, const options& configured, const term& granted);
    // Waits for store calls that are in progress.
    ~shard_owner() override;

    // True until the term has ended.
    bool is_active() const { return ownership_->is_valid() && !has_ended_; }
    // True if a larger VM has requested the shard.
    bool is_hand_over_requested() const { return is_hand_over_requested_; }
    // Stops sending orders, stores pending results and releases the shard, so that the next owner does not
    // have to wait for the lease to expire.
    void hand_over();
    // Ends the term without further writes. Does not wait for calls in progress.
    void abandon();

    void on_report(const worker_id& worker, const worker_report& report, absl::Time sent_at) override;
    void on_unreachable(const worker_id& worker, worker_error error) override;
    void on_lease_expired(const worker_id& worker) override;
    void on_start(const worker_order& order, start_outcome outcome) override;
    void on_stop(const worker_order& order, bool is_confirmed) override;
    void on_throttle(const worker_order& order, bool is_confirmed) override;
    void on_superseded(const worker_id& worker) override;
    std::int64_t last_stored_run_end(const worker_id& worker) override;
    absl::Duration delay_after_run_ends() override {
        return poll_interval_policy_.interval(busy_worker_count_);
    }

private:
    // Delay before a call that failed or was made too early is repeated.
    static constexpr absl::Duration retry_delay = absl::Milliseconds(100);

    void renew_loop();
    void input_loop();
    void directory_loop();
    void plan_loop();
    void commit_loop();
    void vm_control_loop();

    bool load_job_records();
    bool load_known_workers();
    bool read_inputs(store_revision& revision, bool is_initial);
    void handle_hand_over_request(const std::string& key);
    void handle_input(const store_entry& entry, bool is_initial);
    void read_directory();
    void update_sessions(const std::vector<worker_entry>& entries, const std::vector<worker_id>& forgotten);
    void open_session(const worker_id& worker, const std::string& address);
    void close_session(const worker_id& worker);
    void close_sessions_of_terminated_workers();
    void finish_recovery_if_due();
    void update_rules();
    void update_busy_worker_count();
    void report_pools();
    void dispatch_orders(std::vector<worker_order> orders);
    void log_events(const std::vector<job_event>& events);
    void commit_batch();
    void remove_expired_jobs();
    std::string serialize_known_workers() const;
    void request_plan();
    // Returns false if the term has ended.
    bool wait_while_running(absl::Duration duration);
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

    // Held from taking a batch until it is stored, so that an older record never overwrites a newer one.
    // Locked before mutex_.
    std::mutex batch_mutex_;
    mutable std::mutex mutex_;
    std::condition_variable ended_;
    std::condition_variable plan_needed_;
    std::condition_variable commit_needed_;
    // Guarded by mutex_.
    job_scheduler scheduler_;
    std::map<worker_id, std::shared_ptr<worker_session>> sessions_;
    // Addresses of the workers on which runs may be placed. They are stored before the first run is placed.
    std::map<worker_id, std::string> known_workers_;
    std::string stored_known_workers_;
    std::map<job_id, std::string> loaded_records_;
    std::int64_t next_job_number_ = 0;
    // Hand-over requests to earlier owners, which are to be removed.
    std::vector<std::string> obsolete_hand_over_requests_;
    bool must_plan_ = false;
    bool must_commit_ = false;
    std::int64_t rules_version_ = -1;
    absl::Time next_full_commit_ = absl::InfinitePast();
    absl::Time next_pool_report_ = absl::InfinitePast();
    absl::Time next_removal_ = absl::InfinitePast();

    vm_controller vm_controller_;
    // Event loop for the calls to all workers; runs on one thread.
    boost::asio::io_context loop_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> loop_work_;
    std::thread loop_thread_;
    std::vector<std::thread> threads_;
};

}  // namespace masticpass

#endif
