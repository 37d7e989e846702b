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

enum class vm_phase { up, moving, in_maintenance, down };

// What the platform says of one VM.
struct fleet_vm {
    vm_id vm = {};
    pool_name pool = {};
    vm_phase phase = vm_phase::down;
    // Its present life as a worker; empty while it is off.
    worker_id worker = {};
    resource_amount capacity = {};
    std::vector<std::string> labels = {};
};

// Operators ask that each of these VMs is maintained once.
struct wave_request {
    wave_name name = {};
    std::vector<vm_id> vms = {};
    absl::Duration time_limit = {};
    // At most so many of them are down for maintenance at once.
    int maximum_down = 1;
};

struct vm_order {
    vm_id vm = {};
    // Of a move; otherwise empty.
    pool_name target_pool = {};
    // Of maintenance; otherwise empty.
    wave_name wave = {};

    bool is_move() const { return !target_pool.empty(); }
};

struct fleet_plan_limits {
    // A VM that its pool does not need leaves after this time without work.
    absl::Duration idle_timeout = absl::Milliseconds(300);
    // VMs that a pool keeps at least, for the first jobs of a turn.
    int minimum_pool_vms = 1;
    pool_demand_limits demand = {};
    // VMs of a wave that are being emptied beside those that are down.
    int extra_draining_vms = 1;
    // In this share of a wave's time only VMs that are off or idle are maintained, since most are at some
    // time. The rest of the time is for emptying the others.
    double idle_only_share = 0.25;
    // VMs with lasting tasks that are emptied in that time nevertheless, as a share of those that may be
    // down. Their tasks leave one at a time for each step, which takes the longest of all.
    double early_long_running_share = 0.2;
    // A VM that was not empty by then ends what still runs there.
    absl::Duration drain_timeout = absl::Milliseconds(2500);
    // An order whose outcome is not known is given again after this time.
    absl::Duration order_retry_interval = absl::Milliseconds(1500);
    // A VM does not come back from a move or from maintenance sooner. A list that shows it up before that is
    // old.
    absl::Duration minimum_move_duration = absl::Milliseconds(1500);
    absl::Duration minimum_maintenance_duration = absl::Seconds(2);
    // A worker that was first seen so long before the list was asked for is in it.
    absl::Duration list_delay = absl::Seconds(1);
};

// Decides which VMs move to another pool and which are maintained next.
//
// Moves answer the load pattern in which each queue in its turn asks several times its mean for some seconds
// and next to nothing in between: pools follow what waits, and VMs without work go to the standby pool, where
// they cost nothing. Maintenance takes VMs that are off or idle first, and empties the others step by step,
// so that no step of lasting tasks misses more tasks than it may. Thread safety: none.
class fleet_planner {
public:
    explicit fleet_planner(const fleet_plan_limits& limits) : limits_(limits) {}

    // Takes over a wave from an earlier owner, which first knew of it at `known_since`.
    void restore_wave(const wave_name& wave, std::span<const vm_id> maintained, absl::Time known_since);
    // Precondition: the wave was set or restored.
    absl::Time known_since(const wave_name& wave) const { return wave_known_since_.at(wave); }
    // An earlier owner ordered these VMs lately. They get no orders before `until`.
    void block(std::span<const vm_id> vms, absl::Time until);
    void set_waves(std::span<const wave_request> waves, absl::Time now);
    // `listed_at` is the time before the list was asked for.
    void set_vms(std::span<const fleet_vm> vms, absl::Time listed_at);

    // Orders to give now, each of which counts as sent. Closes workers in the scheduler and stops what must
    // leave them. Orders a move only while there are fewer than `maximum_orders`; maintenance goes first.
    std::vector<vm_order> plan(job_scheduler& scheduler, std::span<const worker_pool_rules> pools,
                               absl::Time now, std::size_t maximum_orders);
    // Workers whose life is over: no VM of the last list has them.
    std::vector<worker_id> terminated_workers(const job_scheduler& scheduler) const;
    // `is_done`: the order is under way or was done before; nullopt: its outcome is not known.
    void note_outcome(const vm_order& order, std::optional<bool> is_done, job_scheduler& scheduler);

    std::vector<vm_id> maintained(const wave_name& wave) const;
    // Every VM of the wave that still exists was maintained.
    bool is_completed(const wave_request& wave) const;
    std::span<const wave_request> waves() const { return waves_; }
    // VMs are on their way to a pool.
    bool has_pending_orders() const { return !orders_.empty(); }

private:
    struct order_state {
        vm_order order;
        absl::Time ordered_at = absl::InfiniteFuture();
        worker_id worker_before = {};
        bool is_confirmed = false;
    };

    const fleet_vm* find(const vm_id& vm) const;
    bool is_reserved(const vm_id& vm, absl::Time now) const;
    // VMs that are being emptied and have lasting tasks.
    int draining_with_long_running(const job_scheduler& scheduler) const;
    // The VM may be emptied for the wave: the time for waiting has passed, nothing runs there, or it has
    // lasting tasks and few others with such tasks are being emptied.
    bool may_drain(const wave_request& wave, const fleet_vm& vm, const job_scheduler& scheduler,
                   absl::Time now) const;
    void remove_finished_orders(absl::Time listed_at);
    // VMs of the wave that are down for maintenance, or may be by an order of this or an earlier owner.
    int down_count(const wave_request& wave, absl::Time now) const;
    void add_order(vm_order order, absl::Time now, std::vector<vm_order>& orders);
    void plan_wave(const wave_request& wave, job_scheduler& scheduler,
                   std::span<const worker_pool_rules> pools, absl::Time now, std::vector<vm_order>& orders);
    void advance_draining(job_scheduler& scheduler, absl::Time now, std::vector<vm_order>& orders);
    void plan_moves(job_scheduler& scheduler, std::span<const worker_pool_rules> pools, absl::Time now,
                    std::size_t maximum_orders, std::vector<vm_order>& orders);
    std::vector<const fleet_vm*> idle_vms(const job_scheduler& scheduler, const pool_name& pool,
                                          absl::Time now) const;
    // VMs that take tasks in the pool, or will when they have come.
    int present_count(const job_scheduler& scheduler, const pool_name& pool) const;
    int joining_count(const job_scheduler& scheduler, const pool_name& pool) const;
    // Takes VMs for pools that are short of them from `spare` and then from `idle`.
    void assign_vms(std::vector<std::pair<int, pool_name>>& short_of, std::vector<const fleet_vm*>& spare,
                    std::vector<const fleet_vm*>& idle, job_scheduler& scheduler, absl::Time now,
                    std::size_t maximum_orders, std::vector<vm_order>& orders);
    void observe_demand(const job_scheduler& scheduler, std::span<const worker_pool_rules> pools,
                        absl::Time now);
    // Further VMs that waiting tasks need although there is room on the present ones.
    static int spread_vms(const job_scheduler& scheduler, const pool_name& pool);

    const fleet_plan_limits limits_;
    std::vector<wave_request> waves_;
    // When this owner first knew of each wave.
    std::map<wave_name, absl::Time> wave_known_since_;
    std::map<wave_name, std::set<vm_id>> maintained_;
    std::map<vm_id, fleet_vm> vms_;
    absl::Time listed_at_ = absl::InfinitePast();
    // Orders whose effect the list does not show yet.
    std::map<vm_id, order_state> orders_;
    struct draining_vm {
        wave_name wave = {};
        worker_id worker = {};
        absl::Time since = {};
    };
    std::map<vm_id, draining_vm> draining_;
    std::map<vm_id, absl::Time> blocked_until_;
    std::map<pool_name, pool_demand> demands_;
    // Of the largest VM.
    double vm_cores_ = 1;
    double vm_memory_mb_ = 1;
};

}  // namespace masticpass

#endif
