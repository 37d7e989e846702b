#ifndef MASTICPASS_DECISION_JOBS_FLEET_PLANNER_H
#define MASTICPASS_DECISION_JOBS_FLEET_PLANNER_H

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "decision/jobs/job_scheduler.h"
#include "decision/jobs/job_types.h"
#include "decision/jobs/pool_demand.h"

namespace masticpass {

enum class fleet_vm_phase { up, moving, in_maintenance, down };

// A VM as listed by the platform.
struct fleet_vm {
    vm_id vm = {};
    pool_name pool = {};
    fleet_vm_phase phase = fleet_vm_phase::down;
    // The current incarnation of its worker; empty while the VM is off.
    worker_id worker = {};
    resource_amount capacity = {};
    std::vector<std::string> labels = {};
};

// The VMs that the platform lists.
struct fleet_vm_list {
    std::vector<fleet_vm> vms = {};
    // False if a part of the list could not be read. A VM that is not listed may exist then.
    bool is_complete = true;
};

// A maintenance wave: operators request that each of these VMs is maintained once.
struct wave_request {
    wave_name name = {};
    std::vector<vm_id> vms = {};
    absl::Duration completion_period = {};
    // Maximum number of VMs of the wave that are down for maintenance at the same time.
    int maximum_down = 1;
};

// How far a wave has come. A list of VMs that is older than the wave, or older than one of its VMs, does not
// show which VMs exist.
enum class wave_progress {
    running,    // A VM of the wave exists and has yet to be maintained.
    completed,  // Every VM of the wave that still exists was maintained.
    unknown,    // Running or completed: whether the VMs that were not maintained exist is not known.
};

struct vm_order {
    vm_id vm = {};
    // The pool that a move goes to; empty for maintenance.
    pool_name target_pool = {};
    // The wave that maintenance belongs to; empty for a move.
    wave_name wave = {};

    bool is_move() const { return !target_pool.empty(); }
};

struct fleet_plan_limits {
    // A VM that its pool does not need is returned to the standby pool after being idle for this long.
    absl::Duration idle_timeout = absl::Milliseconds(300);
    // Minimum number of VMs in a pool, which run the first jobs of a burst.
    int minimum_pool_vms = 1;
    pool_demand_limits demand = {};
    // Number of VMs of a wave that may be draining in addition to the VMs that are down.
    int extra_draining_vms = 1;
    // During this share of a wave's completion period, only VMs that are off or idle are maintained, since
    // most VMs are off or idle at some point. The rest of the period is for draining the other VMs.
    double idle_only_share = 0.25;
    // VMs with long-running tasks that are drained during that share nevertheless, as a fraction of the VMs
    // that may be down. Their long-running tasks leave one at a time per step, so these VMs take the longest
    // to drain.
    double early_long_running_share = 0.2;
    // After this time the tasks that still run on a draining VM are stopped. Long-running tasks are not part
    // of this; they leave as fast as their steps allow.
    absl::Duration drain_timeout = absl::Milliseconds(2500);
    // An order whose outcome is unknown is sent again after this time.
    absl::Duration order_retry_interval = absl::Milliseconds(1500);
    // Minimum time that a VM is down for a move or for maintenance. A list that shows the VM as up before
    // that is outdated.
    absl::Duration minimum_move_duration = absl::Milliseconds(1500);
    absl::Duration minimum_maintenance_duration = absl::Seconds(2);
    // A list contains every VM that became known at least this long before the list was requested, and every
    // worker that did so on a VM that was up.
    absl::Duration list_delay = absl::Seconds(1);
};

// Decides which VMs move to another pool and which VMs are maintained next.
//
// Moves handle a load pattern in which each queue in turn receives several times its mean load for some
// seconds and almost no load in between: pools follow the waiting work, and idle VMs return to the standby
// pool, where they cost nothing. Maintenance takes VMs that are off or idle first and drains the others
// gradually, so that no step has more long-running tasks unavailable than it allows.
//
// Ownership: does not own the job_scheduler that it is called with. Thread safety: none.
class fleet_planner {
public:
    explicit fleet_planner(const fleet_plan_limits& limits) : limits_(limits) {}

    // Restores the state of a wave from an earlier owner of the shard, which learned of the wave at
    // `known_since`.
    void restore_wave(const wave_name& wave, std::span<const vm_id> maintained, absl::Time known_since);
    // Precondition: the wave was passed to set_waves or restore_wave.
    absl::Time known_since(const wave_name& wave) const { return wave_known_since_.at(wave); }
    // Sends no orders for these VMs before `until`, because an earlier owner recently sent orders for them.
    void block(std::span<const vm_id> vms, absl::Time until);
    // `now` is a time after the waves were read.
    void set_waves(std::span<const wave_request> waves, absl::Time now);
    // Replaces the list of VMs. `listed_at` is a time before the list was requested.
    void set_vms(const fleet_vm_list& list, absl::Time listed_at);

    // Returns the orders to send now and treats each as sent. Cordons workers in the scheduler and stops the
    // tasks that must leave them. Adds moves only while there are fewer than `maximum_orders` orders;
    // maintenance goes first.
    std::vector<vm_order> plan(job_scheduler& scheduler, std::span<const worker_pool_rules> pools,
                               absl::Time now, std::size_t maximum_orders);
    // Returns the workers that have terminated: no VM of the last list that is up runs them.
    std::vector<worker_id> terminated_workers(const job_scheduler& scheduler) const;
    // Records the outcome of an order. `is_done` is true if the order is in progress or was completed
    // earlier, false if it was refused, and nullopt if its outcome is unknown.
    void handle_order_outcome(const vm_order& order, std::optional<bool> is_done, job_scheduler& scheduler);

    std::vector<vm_id> maintained(const wave_name& wave) const;
    // Precondition: the wave was passed to set_waves.
    wave_progress progress_of(const wave_request& wave) const;
    std::span<const wave_request> waves() const { return waves_; }
    // Returns whether the list of VMs does not yet show the effect of some order.
    bool has_pending_orders() const { return !orders_.empty(); }

private:
    struct order_state {
        vm_order order;
        absl::Time ordered_at = absl::InfiniteFuture();
        worker_id worker_before = {};
        bool is_confirmed = false;
    };

    // What the last list says of a VM that existed once.
    enum class vm_presence {
        listed,
        terminated,  // The list was requested after the VM became known, and does not show it.
        unknown,     // The list is too old to show the VM, or incomplete.
    };

    const fleet_vm* find(const vm_id& vm) const;
    // `known_since` is when this owner learned of the VM.
    vm_presence presence_of(const vm_id& vm, absl::Time known_since) const;
    // Returns whether the last list shows each VM and worker that became known at this time and still exists.
    bool is_list_conclusive(absl::Time known_since) const;
    // Returns whether the VM has an order, is draining, or gets no orders because of block().
    bool is_reserved(const vm_id& vm, absl::Time now) const;
    // Number of draining VMs that have long-running tasks.
    int draining_with_long_running(const job_scheduler& scheduler) const;
    // Returns whether the VM may be drained for the wave: the idle-only share of its completion period has
    // passed, the VM is known to be idle, or it has long-running tasks and few other VMs with such tasks are
    // draining.
    bool may_drain(const wave_request& wave, const fleet_vm& vm, const job_scheduler& scheduler,
                   absl::Time now) const;
    void remove_finished_orders(absl::Time listed_at);
    // Number of VMs of the wave that are down for maintenance, or that may be because of an order of this
    // owner or an earlier one.
    int down_count(const wave_request& wave, absl::Time now) const;
    void add_order(vm_order order, absl::Time now, std::vector<vm_order>& orders);
    void plan_wave(const wave_request& wave, job_scheduler& scheduler,
                   std::span<const worker_pool_rules> pools, absl::Time now, std::vector<vm_order>& orders);
    void advance_draining(job_scheduler& scheduler, absl::Time now, std::vector<vm_order>& orders);
    void plan_moves(job_scheduler& scheduler, std::span<const worker_pool_rules> pools, absl::Time now,
                    std::size_t maximum_orders, std::vector<vm_order>& orders);
    std::vector<const fleet_vm*> idle_vms(const job_scheduler& scheduler, const pool_name& pool,
                                          absl::Time now) const;
    // Number of VMs that accept tasks in the pool, or will accept them after joining it.
    int present_count(const job_scheduler& scheduler, const pool_name& pool) const;
    // Number of VMs that are ordered to move into the pool, or are in it but have no synced worker yet.
    int joining_count(const job_scheduler& scheduler, const pool_name& pool) const;
    // Orders moves to the pools in `shortages`, which lack that many VMs, first of VMs in `standby_vms` and
    // then of VMs in `idle`.
    void assign_vms(std::vector<std::pair<int, pool_name>>& shortages,
                    std::vector<const fleet_vm*>& standby_vms, std::vector<const fleet_vm*>& idle,
                    job_scheduler& scheduler, absl::Time now, std::size_t maximum_orders,
                    std::vector<vm_order>& orders);
    void observe_demand(const job_scheduler& scheduler, std::span<const worker_pool_rules> pools,
                        absl::Time now);
    // Number of additional VMs that waiting tasks need even though the VMs of the pool have free capacity,
    // because of limits on the tasks of one step on one worker.
    static int spread_vms(const job_scheduler& scheduler, const pool_name& pool);

    const fleet_plan_limits limits_;
    std::vector<wave_request> waves_;
    // When each wave became known, to this owner or to the earlier one that restore_wave refers to.
    std::map<wave_name, absl::Time> wave_known_since_;
    // When this owner learned which VMs each wave has.
    std::map<wave_name, absl::Time> wave_vms_known_since_;
    std::map<wave_name, std::set<vm_id>> maintained_;
    std::map<vm_id, fleet_vm> vms_;
    absl::Time listed_at_ = absl::InfinitePast();
    bool is_list_complete_ = true;
    // Orders whose effect the list of VMs does not show yet.
    std::map<vm_id, order_state> orders_;
    struct draining_vm {
        wave_name wave = {};
        worker_id worker = {};
        absl::Time since = {};
    };
    std::map<vm_id, draining_vm> draining_;
    std::map<vm_id, absl::Time> blocked_until_;
    std::map<pool_name, pool_demand> demands_;
    // Capacity of the largest VM that was ever listed.
    double vm_cores_ = 1;
    double vm_memory_mb_ = 1;
};

}  // namespace masticpass

#endif
