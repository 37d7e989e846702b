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
    // Between two lists of the VMs while nothing is under way.
    absl::Duration vm_list_interval = absl::Milliseconds(1500);
    // The same while VMs move or are maintained.
    absl::Duration busy_vm_list_interval = absl::Milliseconds(500);
    absl::Duration wave_list_interval = absl::Milliseconds(1000);
    // The platform refuses more.
    double commands_per_second = 64;
    // Orders that may follow each other at once after a time without any.
    double command_burst = 32;
};

// Carries out the plans for the VMs of a shard: lists them, gives orders, and stores how far waves are.
// Ownership: borrows its peers. Thread safety: all calls on one thread.
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

    // The owner for which orders are given.
    struct owner_term {
        std::string name;
        int shard = 0;
        // Orders that earlier owners recorded may be carried out until then, so their VMs get no others
        // before.
        absl::Time earlier_commands_expire_at;
        // An order is recorded for this long after it was given.
        absl::Duration command_record_retention;
    };

    vm_controller(const dependencies& collaborators, const vm_controller_options& options, owner_term owner)
        : dependencies_(collaborators),
          options_(options),
          term_(std::move(owner)),
          planner_(options.limits) {}

    // Reads which VMs were maintained and which were ordered lately under earlier owners. Returns false if
    // the store cannot be read.
    bool load();
    // Lists the VMs when it is time, and tells the scheduler which workers are gone.
    void refresh_vms(job_scheduler& scheduler, std::mutex& mutex);
    // VMs are on their way, so workers will join soon. May be called from any thread.
    bool is_expecting_workers() const { return is_vm_change_in_progress_; }
    // One round of orders. `scheduler` is used under `mutex`; orders are sent without it.
    void run_round(job_scheduler& scheduler, std::mutex& mutex, const job_rules& rules);

private:
    // Orders that wait for their answers at the same time.
    static constexpr std::size_t maximum_concurrent_commands = 8;

    struct stored_wave {
        std::size_t maintained_count = 0;
        bool is_stored = false;
        bool is_completed = false;
    };

    void read_waves(absl::Time now);
    void read_vms(absl::Time now);
    bool load_waves();
    bool load_recent_commands();
    // Stores which VMs are ordered before they are, so that the next owner leaves them alone for a while.
    bool record_commands(const std::vector<vm_order>& orders, absl::Time now);
    // Orders that may be given now, of those that the platform takes a second.
    std::size_t refill_command_tokens(absl::Time now);
    // Several at a time, since a move of a pool waits for an answer for each of its VMs.
    void send_commands(const std::vector<vm_order>& orders, job_scheduler& scheduler, std::mutex& mutex);
    void send_command(const vm_order& order, job_scheduler& scheduler, std::mutex& mutex);
    void store_wave_states();

    const dependencies dependencies_;
    const vm_controller_options options_;
    const owner_term term_;
    // Wait for the answers to orders, beside the caller's thread.
    boost::asio::thread_pool threads_{maximum_concurrent_commands - 1};
    fleet_planner planner_;
    std::map<wave_name, stored_wave> stored_waves_;
    // Until when each VM's last order, of this owner or an earlier one, is recorded.
    std::map<vm_id, absl::Time> recent_commands_;
    double command_tokens_ = 0;
    absl::Time tokens_refilled_at_ = absl::InfinitePast();
    absl::Time waves_read_at_ = absl::InfinitePast();
    absl::Time vms_read_at_ = absl::InfinitePast();
    std::atomic<bool> is_vm_change_in_progress_ = false;
    bool has_vm_list_ = false;
};

}  // namespace masticpass

#endif
