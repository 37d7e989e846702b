#ifndef MASTICPASS_JOBS_VM_CONTROLLER_H
#define MASTICPASS_JOBS_VM_CONTROLLER_H

#include <atomic>
#include <map>
#include <mutex>
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
    // Interval of VM list calls while no VM moves or is maintained.
    absl::Duration vm_list_interval = absl::Milliseconds(1500);
    // Interval of VM list calls while VMs move or are maintained.
    absl::Duration busy_vm_list_interval = absl::Milliseconds(500);
    absl::Duration wave_list_interval = absl::Milliseconds(1000);
    // The platform refuses orders above this rate.
    double orders_per_second = 64;
    // Maximum number of orders that may be sent at once after an idle period.
    double order_burst = 32;
};

// Executes the plans for the VMs of a shard: lists the VMs, sends orders, and stores the progress of
// maintenance waves. Ownership: borrows its dependencies. Thread safety: all calls on one thread, except for
// `is_expecting_workers`.
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
        // Orders that earlier owners recorded may take effect until this time, so their VMs get no new
        // orders before.
        absl::Time earlier_orders_expire_at;
        // Time for which the record of an order is kept after it was sent.
        absl::Duration order_record_retention;
    };

    vm_controller(const dependencies& collaborators, const vm_controller_options& options, owner_term owner)
        : dependencies_(collaborators),
          options_(options),
          term_(std::move(owner)),
          planner_(options.limits) {}

    // Loads which VMs were maintained and which received recent orders under earlier owners. Returns false
    // if the store cannot be read.
    bool load();
    // Lists the VMs when the interval has passed, and tells the scheduler which workers have terminated.
    void refresh_vms(job_scheduler& scheduler, std::mutex& mutex);
    // True while VMs move or are maintained, so that workers are expected to join soon. May be called from
    // any thread.
    bool is_expecting_workers() const { return is_vm_change_in_progress_; }
    // Plans and sends one round of orders. `scheduler` is used under `mutex`; orders are sent without it.
    void run_round(job_scheduler& scheduler, std::mutex& mutex, const job_rules& rules);

private:
    // Maximum number of orders that wait for their responses at the same time.
    static constexpr std::size_t maximum_concurrent_orders = 8;

    struct stored_wave {
        std::size_t maintained_count = 0;
        bool is_stored = false;
        bool is_completed = false;
    };

    void read_waves(absl::Time now);
    void read_vms(absl::Time now);
    bool load_waves();
    bool load_recent_orders();
    // Stores which VMs receive orders before the orders are sent, so that the next owner does not send
    // conflicting ones.
    bool record_orders(const std::vector<vm_order>& orders, absl::Time now);
    // Refills the token bucket of orders for the time that has passed. Returns the number of orders that
    // may be sent now.
    std::size_t refill_order_tokens(absl::Time now);
    // Sends several orders concurrently, because moving a pool waits for one response for each of its VMs.
    void send_orders(const std::vector<vm_order>& orders, job_scheduler& scheduler, std::mutex& mutex);
    void send_order(const vm_order& order, job_scheduler& scheduler, std::mutex& mutex);
    void store_wave_states();

    const dependencies dependencies_;
    const vm_controller_options options_;
    const owner_term term_;
    // Threads that wait for the responses to orders, in addition to the caller's thread.
    boost::asio::thread_pool threads_{maximum_concurrent_orders - 1};
    fleet_planner planner_;
    std::map<wave_name, stored_wave> stored_waves_;
    // Time until which the record of each VM's last order, of this owner or an earlier one, is kept.
    std::map<vm_id, absl::Time> recent_orders_;
    double order_tokens_ = 0;
    absl::Time tokens_refilled_at_ = absl::InfinitePast();
    absl::Time waves_read_at_ = absl::InfinitePast();
    absl::Time vms_read_at_ = absl::InfinitePast();
    std::atomic<bool> is_vm_change_in_progress_ = false;
    bool has_vm_list_ = false;
};

}  // namespace masticpass

#endif
