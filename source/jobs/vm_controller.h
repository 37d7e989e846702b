#ifndef MASTICPASS_JOBS_VM_CONTROLLER_H
#define MASTICPASS_JOBS_VM_CONTROLLER_H

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <boost/asio/thread_pool.hpp>

#include "common/clock.h"
#include "decision/jobs/fleet_planner.h"
#include "jobs/fenced_writer.h"
#include "jobs/ownership.h"
#include "jobs/vm_service.h"
#include "jobs/wave_store.h"
#include "jobs/worker_channel.h"
#include "telemetry/metrics.h"

namespace masticpass {

struct vm_controller_options {
    fleet_plan_limits limits;
    // Interval at which the VMs are listed while no VM moves or is maintained.
    absl::Duration vm_list_interval = absl::Milliseconds(1500);
    // Interval at which the VMs are listed while VMs move or are maintained.
    absl::Duration busy_vm_list_interval = absl::Milliseconds(500);
    // Interval at which the requested maintenance waves are listed.
    absl::Duration wave_list_interval = absl::Milliseconds(1000);
    // Rate limit for orders. The platform refuses orders above its own limit.
    double orders_per_second = 64;
    // Maximum number of orders that may be sent at once after an idle period.
    double order_burst = 32;
};

// Executes the plans for the VMs of a shard: lists the VMs, sends orders, and stores the progress of
// maintenance waves. Ownership: borrows its dependencies. Thread safety: all methods must be called on one
// thread, except for `load`, which is called before the others, and for `is_expecting_workers`.
class vm_controller {
public:
    struct dependencies {
        vm_service& vms;
        wave_store& waves;
        transactional_store& store;
        fenced_writer& writer;
        const ownership& owner;
        const clock& time;
        metrics_registry& metrics;
    };

    // The term of the owner on whose behalf orders are sent.
    struct owner_term {
        std::string name;
        int shard = 0;
        // Orders that earlier owners recorded may take effect until this time, so no new orders are sent to
        // their VMs before.
        absl::Time earlier_orders_expire_at;
        // Time for which the record of an order is kept after the order was sent.
        absl::Duration order_record_retention;
    };

    vm_controller(const dependencies& collaborators, const vm_controller_options& options, owner_term owner)
        : dependencies_(collaborators),
          options_(options),
          term_(std::move(owner)),
          planner_(options.limits) {}

    // Loads which VMs were maintained under earlier owners and to which of them they recently sent orders.
    // Returns false if the store cannot be read.
    bool load();
    // Lists the VMs if the interval has passed, and tells the scheduler which workers have terminated.
    // `scheduler` is used under `mutex`.
    void refresh_vms(job_scheduler& scheduler, std::mutex& mutex);
    // Returns whether new workers are expected to register soon, because VMs move or are maintained. May be
    // called from any thread.
    bool is_expecting_workers() const { return is_vm_change_in_progress_; }
    // Plans and sends one round of orders. `scheduler` is used under `mutex`; orders are sent without it.
    void run_round(job_scheduler& scheduler, std::mutex& mutex, const job_rules& rules);

private:
    // Maximum number of orders whose responses are awaited at the same time.
    static constexpr std::size_t maximum_concurrent_orders = 8;

    // The state of a wave as it was last stored, by this owner or an earlier one.
    struct stored_wave {
        // Nullopt if the wave was never stored.
        std::optional<std::size_t> maintained_count = {};
        // What operators were told by this owner; unknown if it has told them nothing.
        wave_progress reported = wave_progress::unknown;
    };

    void read_waves(absl::Time now);
    void read_vms(absl::Time now);
    bool load_waves();
    bool load_recent_orders();
    // Stores to which VMs orders are about to be sent, so that the next owner does not send conflicting
    // orders to them. Returns false if the list cannot be stored; the orders must not be sent then.
    bool record_orders(const std::vector<vm_order>& orders, absl::Time now);
    // Adds the tokens for the time that has passed to the token bucket that limits the rate of orders.
    // Returns the number of orders that may be sent now.
    std::size_t refill_order_tokens(absl::Time now);
    // Sends several orders concurrently, because a move of many VMs to a pool takes one call for each of
    // them.
    void send_orders(const std::vector<vm_order>& orders, job_scheduler& scheduler, std::mutex& mutex);
    void send_order(const vm_order& order, job_scheduler& scheduler, std::mutex& mutex);
    // Stores the states of the waves that have changed, for later owners and for operators.
    void store_wave_states();
    // Brings the stored state of a wave up to date. Adds the write of what later owners need to `writes`.
    // While the progress is unknown, what operators were told before stays in force.
    void update_stored_wave(const wave_request& wave, stored_wave& stored,
                            std::vector<store_write>& writes) const;

    const dependencies dependencies_;
    const vm_controller_options options_;
    const owner_term term_;
    // Threads that send orders and wait for the responses, in addition to the caller's thread.
    boost::asio::thread_pool threads_{maximum_concurrent_orders - 1};
    fleet_planner planner_;
    std::map<wave_name, stored_wave> stored_waves_;
    // VMs to which this owner or an earlier one recently sent an order, with the time until which the record
    // of the order is kept.
    std::map<vm_id, absl::Time> recent_orders_;
    // Number of orders that may be sent now.
    double order_tokens_ = 0;
    absl::Time tokens_refilled_at_ = absl::InfinitePast();
    absl::Time waves_read_at_ = absl::InfinitePast();
    absl::Time vms_read_at_ = absl::InfinitePast();
    std::atomic<bool> is_vm_change_in_progress_ = false;
    // True after the VMs were listed for the first time.
    bool has_vm_list_ = false;
};

}  // namespace masticpass

#endif
