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
#include "jobs/ownership.h"
#include "jobs/record_writer.h"
#include "jobs/vm_keeper.h"
#include "jobs/vm_service.h"
#include "jobs/wave_board.h"
#include "jobs/worker_gateway.h"
#include "jobs/worker_link.h"
#include "store/transactional_store.h"
#include "telemetry/metrics.h"

namespace masticpass {

// What the owner of a shard works with.
struct shard_owner_peers {
    transactional_store& store;
    worker_gateway& workers;
    worker_directory& directory;
    vm_service& vms;
    wave_board& waves;
    const job_rules_source& rules;
    const clock& time;
    metrics_registry& metrics;
};

// A term as the owner of one shard of jobs: loads the accepted jobs, learns what runs from the workers,
// places tasks, stores results, and moves and maintains VMs. Its threads end by themselves when the term is
// over. Ownership: borrows the peers, which must outlive it. Thread safety: all methods may be called from
// any thread.
class shard_owner final : public worker_link_listener {
public:
    struct options {
        int shard = 0;
        ownership_limits limits;
        // Records of jobs are kept for this long after their end.
        absl::Duration retention = absl::Seconds(120);
        // Two orders of different owners to one VM are this far apart at least.
        absl::Duration vm_order_gap = absl::Seconds(3);
        vm_keeper_options vms;
        // Processor of this VM.
        double processor_cores = 1;
    };
    struct term {
        fenced_writer::owner_key key;
        // Counts the owners of the shard.
        std::int64_t number = 0;
        absl::Time granted_at = {};
    };

    shard_owner(const shard_owner_peers& peers, const options& configured, const term& granted);
    // Waits for the calls of the store that are in progress.
    ~shard_owner() override;

    // True until the term has ended.
    bool is_active() const { return ownership_->is_valid() && !is_over_; }
    // A larger VM has asked for the shard.
    bool is_hand_over_wanted() const { return is_hand_over_wanted_; }
    // Stops giving orders, stores what is open and lets the shard go, so that the next owner need not wait
    // for the lease to end.
    void hand_over();
    // Ends the term without further writes. Does not wait for calls in progress.
    void abandon();

    void on_report(const worker_id& worker, const worker_report& report, absl::Time sent_at) override;
    void on_unreachable(const worker_id& worker, worker_error error) override;
    void on_lapsed(const worker_id& worker) override;
    void on_start(const worker_order& order, start_outcome outcome) override;
    void on_stop(const worker_order& order, bool is_answered) override;
    void on_pace(const worker_order& order, bool is_answered) override;
    void on_superseded(const worker_id& worker) override;
    std::int64_t stored_ends(const worker_id& worker) override;
    absl::Duration pause_after_ends() override { return pacing_.interval(busy_workers_); }

private:
    // Before a call that failed, or that is too early, is repeated.
    static constexpr absl::Duration retry_pause = absl::Milliseconds(100);

    void renew_loop();
    void input_loop();
    void directory_loop();
    void plan_loop();
    void commit_loop();
    void vm_loop();

    bool load_jobs();
    bool load_known_workers();
    bool read_inputs(store_revision& revision, bool is_initial);
    void take_hand_over_wish(const std::string& key);
    void take_input(const store_entry& entry, bool is_initial);
    void read_directory();
    void update_links(const std::vector<worker_entry>& entries, const std::vector<worker_id>& forgotten);
    void open_link(const worker_id& worker, const std::string& address);
    void close_link(const worker_id& worker);
    void close_links_of_gone_workers();
    void note_recovery();
    void take_rules();
    void count_busy_workers();
    void show_pools();
    void dispatch(std::vector<worker_order> orders);
    void log_events(const std::vector<job_event>& events);
    void commit_once();
    void remove_expired();
    std::string known_workers_value() const;
    void wake_planner();
    // Returns false if the term is over.
    bool pause(absl::Duration duration);
    bool is_running() const { return !is_over_ && ownership_->is_valid(); }
    void count(const char* name, const char* label, std::string_view value);

    const shard_owner_peers peers_;
    const options options_;
    const term term_;
    const std::shared_ptr<ownership> ownership_;
    fenced_writer writer_;
    record_writer record_writer_;
    std::atomic<bool> is_over_ = false;
    std::atomic<bool> is_loaded_ = false;
    std::atomic<bool> is_hand_over_wanted_ = false;
    const poll_interval_policy pacing_;
    std::atomic<std::size_t> busy_workers_ = 0;

    // Held from taking a batch until it is stored, so that no older record follows a newer one. Taken before
    // mutex_.
    std::mutex batch_mutex_;
    mutable std::mutex mutex_;
    std::condition_variable ended_;
    std::condition_variable plan_needed_;
    std::condition_variable commit_needed_;
    // Guarded by mutex_.
    job_scheduler scheduler_;
    std::map<worker_id, std::shared_ptr<worker_link>> links_;
    // Address of each worker on which runs may be placed; stored before the first one is.
    std::map<worker_id, std::string> known_workers_;
    std::string stored_workers_;
    std::map<job_id, std::string> records_;
    std::int64_t next_order_ = 0;
    // Wishes to earlier owners, to be removed.
    std::vector<std::string> settled_wishes_;
    bool must_plan_ = false;
    bool must_commit_ = false;
    std::int64_t rules_version_ = -1;
    absl::Time next_full_commit_ = absl::InfinitePast();
    absl::Time next_show_ = absl::InfinitePast();
    absl::Time next_removal_ = absl::InfinitePast();

    vm_keeper keeper_;
    // Carries the calls to all workers, on one thread.
    boost::asio::io_context loop_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> loop_work_;
    std::thread loop_thread_;
    std::vector<std::thread> threads_;
};

}  // namespace masticpass

#endif
