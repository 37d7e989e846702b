#include "decision/jobs/fleet_planner.h"

#include <algorithm>

namespace masticpass {

namespace {

constexpr double millis_per_core = 1000.0;

const worker_state* worker_of(const job_scheduler& scheduler, const worker_id& worker) {
    const auto found = scheduler.workers().find(worker);
    return found == scheduler.workers().end() ? nullptr : &found->second;
}

bool is_standby(std::span<const worker_pool_rules> pools, const pool_name& pool) {
    return std::any_of(pools.begin(), pools.end(), [&](const worker_pool_rules& rules) {
        return rules.name == pool && rules.is_standby;
    });
}

bool has_long_running(const worker_state& worker) {
    return worker.reserved_long_running != resource_amount{};
}

std::size_t run_count(const job_scheduler& scheduler, const fleet_vm& vm) {
    const worker_state* const worker = worker_of(scheduler, vm.worker);
    return worker == nullptr ? 0 : worker->runs.size();
}

}  // namespace

void fleet_planner::restore_wave(const wave_name& wave, std::span<const vm_id> maintained,
                                 absl::Time known_since) {
    maintained_[wave].insert(maintained.begin(), maintained.end());
    wave_known_since_[wave] = known_since;
}

void fleet_planner::set_waves(std::span<const wave_request> waves, absl::Time now) {
    for (const wave_request& wave : waves) {
        wave_known_since_.try_emplace(wave.name, now);
        const auto earlier = std::find_if(waves_.begin(), waves_.end(), [&](const wave_request& request) {
            return request.name == wave.name;
        });
        if (earlier == waves_.end() || earlier->vms != wave.vms) {
            wave_vms_known_since_[wave.name] = now;
        }
    }
    waves_.assign(waves.begin(), waves.end());
}

bool fleet_planner::may_drain(const wave_request& wave, const fleet_vm& vm, const job_scheduler& scheduler,
                              absl::Time now) const {
    const auto known = wave_known_since_.find(wave.name);
    const worker_state* const worker = worker_of(scheduler, vm.worker);
    if (worker == nullptr) {
        return false;
    }
    const bool is_idle_only = known != wave_known_since_.end() &&
                              now < known->second + limits_.idle_only_share * wave.completion_period;
    if (!is_idle_only || worker->is_known_to_be_idle()) {
        return true;
    }
    const int maximum_early_draining =
        std::max(1, static_cast<int>(limits_.early_long_running_share * wave.maximum_down));
    return has_long_running(*worker) && draining_with_long_running(scheduler) < maximum_early_draining;
}

int fleet_planner::draining_with_long_running(const job_scheduler& scheduler) const {
    return static_cast<int>(std::count_if(draining_.begin(), draining_.end(), [&](const auto& entry) {
        const worker_state* const worker = worker_of(scheduler, entry.second.worker);
        return worker != nullptr && has_long_running(*worker);
    }));
}

void fleet_planner::block(std::span<const vm_id> vms, absl::Time until) {
    for (const vm_id& vm : vms) {
        blocked_until_[vm] = until;
    }
}

bool fleet_planner::is_reserved(const vm_id& vm, absl::Time now) const {
    const auto blocked = blocked_until_.find(vm);
    return orders_.contains(vm) || draining_.contains(vm) ||
           (blocked != blocked_until_.end() && now < blocked->second);
}

const fleet_vm* fleet_planner::find(const vm_id& vm) const {
    const auto found = vms_.find(vm);
    return found == vms_.end() ? nullptr : &found->second;
}

fleet_planner::vm_presence fleet_planner::presence_of(const vm_id& vm, absl::Time known_since) const {
    if (vms_.contains(vm)) {
        return vm_presence::listed;
    }
    return is_list_conclusive(known_since) ? vm_presence::terminated : vm_presence::unknown;
}

bool fleet_planner::is_list_conclusive(absl::Time known_since) const {
    return is_list_complete_ && known_since + limits_.list_delay < listed_at_;
}

void fleet_planner::set_vms(const fleet_vm_list& list, absl::Time listed_at) {
    vms_.clear();
    for (const fleet_vm& vm : list.vms) {
        vms_.emplace(vm.vm, vm);
    }
    listed_at_ = listed_at;
    is_list_complete_ = list.is_complete;
    remove_finished_orders(listed_at);
}

std::vector<worker_id> fleet_planner::terminated_workers(const job_scheduler& scheduler) const {
    std::set<worker_id> present;
    for (const auto& [id, vm] : vms_) {
        if (vm.phase == fleet_vm_phase::up) {
            present.insert(vm.worker);
        }
    }
    std::vector<worker_id> terminated;
    for (const auto& [id, worker] : scheduler.workers()) {
        if (!present.contains(id) && !worker.is_terminated && is_list_conclusive(worker.known_since)) {
            terminated.push_back(id);
        }
    }
    return terminated;
}

void fleet_planner::add_order(vm_order order, absl::Time now, std::vector<vm_order>& orders) {
    order_state& state = orders_[order.vm];
    state.order = order;
    state.ordered_at = now;
    if (const fleet_vm* const vm = find(order.vm); vm != nullptr && state.worker_before.empty()) {
        state.worker_before = vm->worker;
    }
    orders.push_back(std::move(order));
}

void fleet_planner::remove_finished_orders(absl::Time listed_at) {
    std::erase_if(orders_, [&](const auto& entry) {
        const order_state& state = entry.second;
        const fleet_vm* const vm = find(entry.first);
        if (vm == nullptr) {
            return presence_of(entry.first, state.ordered_at) == vm_presence::terminated;
        }
        const absl::Duration shortest =
            state.order.is_move() ? limits_.minimum_move_duration : limits_.minimum_maintenance_duration;
        if (!state.is_confirmed || listed_at < state.ordered_at + shortest ||
            vm->phase != fleet_vm_phase::up) {
            return false;
        }
        return state.order.is_move() ? vm->pool == state.order.target_pool
                                     : vm->worker.empty() || vm->worker != state.worker_before;
    });
    std::erase_if(draining_, [&](const auto& entry) {
        const fleet_vm* const vm = find(entry.first);
        if (vm == nullptr) {
            return presence_of(entry.first, entry.second.since) == vm_presence::terminated;
        }
        return !vm->worker.empty() && vm->worker != entry.second.worker;
    });
}

std::vector<vm_id> fleet_planner::maintained(const wave_name& wave) const {
    const auto found = maintained_.find(wave);
    return found == maintained_.end() ? std::vector<vm_id>{}
                                      : std::vector<vm_id>(found->second.begin(), found->second.end());
}

wave_progress fleet_planner::progress_of(const wave_request& wave) const {
    const auto done = maintained_.find(wave.name);
    const absl::Time vms_known_since = wave_vms_known_since_.at(wave.name);
    bool is_any_unknown = false;
    for (const vm_id& vm : wave.vms) {
        if (done != maintained_.end() && done->second.contains(vm)) {
            continue;
        }
        const vm_presence presence = presence_of(vm, vms_known_since);
        if (presence == vm_presence::listed) {
            return wave_progress::running;
        }
        is_any_unknown = is_any_unknown || presence == vm_presence::unknown;
    }
    return is_any_unknown ? wave_progress::unknown : wave_progress::completed;
}

std::vector<vm_order> fleet_planner::plan(job_scheduler& scheduler, std::span<const worker_pool_rules> pools,
                                          absl::Time now, std::size_t maximum_orders) {
    std::vector<vm_order> orders;
    for (auto& [vm, state] : orders_) {
        if (!state.is_confirmed && now >= state.ordered_at + limits_.order_retry_interval) {
            add_order(vm_order(state.order), now, orders);
        }
    }
    for (const wave_request& wave : waves_) {
        plan_wave(wave, scheduler, pools, now, orders);
    }
    advance_draining(scheduler, now, orders);
    plan_moves(scheduler, pools, now, maximum_orders, orders);
    return orders;
}

int fleet_planner::down_count(const wave_request& wave, absl::Time now) const {
    return static_cast<int>(std::count_if(wave.vms.begin(), wave.vms.end(), [&](const vm_id& id) {
        const fleet_vm* const vm = find(id);
        const auto order = orders_.find(id);
        const auto blocked = blocked_until_.find(id);
        return (order != orders_.end() && order->second.order.wave == wave.name) ||
               (vm != nullptr && vm->phase == fleet_vm_phase::in_maintenance) ||
               (blocked != blocked_until_.end() && now < blocked->second);
    }));
}

void fleet_planner::plan_wave(const wave_request& wave, job_scheduler& scheduler,
                              std::span<const worker_pool_rules> pools, absl::Time now,
                              std::vector<vm_order>& orders) {
    const std::set<vm_id>& done = maintained_[wave.name];
    int draining = 0;
    std::vector<const fleet_vm*> candidates;
    for (const vm_id& id : wave.vms) {
        const fleet_vm* const vm = find(id);
        draining += draining_.contains(id) ? 1 : 0;
        if (vm != nullptr && vm->phase == fleet_vm_phase::up && !done.contains(id) && !is_reserved(id, now)) {
            candidates.push_back(vm);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [&](const fleet_vm* left, const fleet_vm* right) {
        return run_count(scheduler, *left) < run_count(scheduler, *right);
    });
    for (const fleet_vm* const vm : candidates) {
        if (is_standby(pools, vm->pool) || vm->worker.empty()) {
            if (down_count(wave, now) + draining < wave.maximum_down) {
                add_order({.vm = vm->vm, .wave = wave.name}, now, orders);
            }
            continue;
        }
        if (down_count(wave, now) + draining >= wave.maximum_down + limits_.extra_draining_vms) {
            break;
        }
        if (!may_drain(wave, *vm, scheduler, now)) {
            continue;
        }
        ++draining;
        draining_[vm->vm] = {.wave = wave.name, .worker = vm->worker, .since = now};
        scheduler.set_cordoned(vm->worker, true);
    }
}

void fleet_planner::advance_draining(job_scheduler& scheduler, absl::Time now,
                                     std::vector<vm_order>& orders) {
    for (const auto& [id, state] : draining_) {
        const draining_vm& draining = state;
        scheduler.set_cordoned(draining.worker, true);
        const worker_state* const worker = worker_of(scheduler, draining.worker);
        if (worker != nullptr && !worker->runs.empty()) {
            scheduler.evict_long_running_tasks(draining.worker, now);
            if (now - draining.since > limits_.drain_timeout) {
                scheduler.evict_finite_tasks(draining.worker);
            }
            continue;
        }
        // A worker that has not reported to this owner may have long-running tasks.
        if (worker == nullptr || !worker->is_known_to_be_idle()) {
            continue;
        }
        const auto wave = std::find_if(waves_.begin(), waves_.end(), [&](const wave_request& request) {
            return request.name == draining.wave;
        });
        if (wave != waves_.end() && !orders_.contains(id) && down_count(*wave, now) < wave->maximum_down) {
            add_order({.vm = id, .wave = draining.wave}, now, orders);
        }
    }
}

std::vector<const fleet_vm*> fleet_planner::idle_vms(const job_scheduler& scheduler, const pool_name& pool,
                                                     absl::Time now) const {
    std::vector<const fleet_vm*> idle;
    for (const auto& [id, vm] : vms_) {
        const worker_state* const worker = worker_of(scheduler, vm.worker);
        if (vm.pool == pool && vm.phase == fleet_vm_phase::up && !is_reserved(id, now) && worker != nullptr &&
            worker->is_listed && worker->is_reachable && !worker->entry.is_draining &&
            worker->is_known_to_be_idle()) {
            idle.push_back(&vm);
        }
    }
    return idle;
}

int fleet_planner::present_count(const job_scheduler& scheduler, const pool_name& pool) const {
    int count = 0;
    for (const auto& [id, vm] : vms_) {
        const auto order = orders_.find(id);
        if (order != orders_.end()) {
            count += order->second.order.target_pool == pool ? 1 : 0;
            continue;
        }
        const worker_state* const worker = worker_of(scheduler, vm.worker);
        const bool is_leaving = draining_.contains(id) || (worker != nullptr && worker->entry.is_draining);
        count += vm.pool == pool && vm.phase != fleet_vm_phase::down && !is_leaving ? 1 : 0;
    }
    return count;
}

void fleet_planner::observe_demand(const job_scheduler& scheduler, std::span<const worker_pool_rules> pools,
                                   absl::Time now) {
    for (const auto& [id, vm] : vms_) {
        vm_cores_ = std::max(vm_cores_, static_cast<double>(vm.capacity.cpu_millis) / millis_per_core);
        vm_memory_mb_ = std::max(vm_memory_mb_, static_cast<double>(vm.capacity.memory_mb));
    }
    for (const worker_pool_rules& pool : pools) {
        const auto load = scheduler.loads().find(pool.name);
        demands_.try_emplace(pool.name, limits_.demand)
            .first->second.observe(load == scheduler.loads().end() ? pool_load{} : load->second, now);
    }
}

int fleet_planner::spread_vms(const job_scheduler& scheduler, const pool_name& pool) {
    const auto load = scheduler.loads().find(pool);
    return load == scheduler.loads().end() ? 0 : load->second.additional_workers;
}

void fleet_planner::plan_moves(job_scheduler& scheduler, std::span<const worker_pool_rules> pools,
                               absl::Time now, std::size_t maximum_orders, std::vector<vm_order>& orders) {
    observe_demand(scheduler, pools, now);
    std::vector<const fleet_vm*> standby_vms;
    std::optional<pool_name> standby;
    std::vector<const fleet_vm*> idle;
    std::vector<const fleet_vm*> returning;
    std::vector<std::pair<int, pool_name>> shortages;
    for (const worker_pool_rules& pool : pools) {
        if (pool.is_standby) {
            standby = standby.value_or(pool.name);
            for (const auto& [id, vm] : vms_) {
                if (vm.pool == pool.name && vm.phase == fleet_vm_phase::up && !is_reserved(id, now)) {
                    standby_vms.push_back(&vm);
                }
            }
            continue;
        }
        const pool_demand& demand = demands_.at(pool.name);
        const int present = present_count(scheduler, pool.name);
        const int spread = spread_vms(scheduler, pool.name);
        const int needed = demand.needed_vms(vm_cores_, vm_memory_mb_);
        const int missing = std::max(needed - present, spread - joining_count(scheduler, pool.name));
        if (missing > 0) {
            shortages.emplace_back(missing, pool.name);
            continue;
        }
        // Other pools may take VMs that this pool does not need now. The VMs that it retains follow falling
        // arrivals more slowly.
        int lendable = spread > 0 ? 0 : present - std::max(limits_.minimum_pool_vms, needed);
        int surplus =
            spread > 0 ? 0 : present - std::max(limits_.minimum_pool_vms, demand.retained_vms(vm_cores_));
        for (const fleet_vm* const vm : idle_vms(scheduler, pool.name, now)) {
            const worker_state* const worker = worker_of(scheduler, vm->worker);
            if (lendable > 0) {
                idle.push_back(vm);
                --lendable;
            }
            if (surplus > 0 && now - worker->idle_since >= limits_.idle_timeout) {
                returning.push_back(vm);
                --surplus;
            }
        }
    }
    assign_vms(shortages, standby_vms, idle, scheduler, now, maximum_orders, orders);
    if (!standby) {
        return;
    }
    for (const fleet_vm* const vm : returning) {
        if (orders.size() >= maximum_orders) {
            return;
        }
        // The VM may have been assigned to another pool above.
        if (orders_.contains(vm->vm)) {
            continue;
        }
        scheduler.set_cordoned(vm->worker, true);
        add_order({.vm = vm->vm, .target_pool = *standby}, now, orders);
    }
}

int fleet_planner::joining_count(const job_scheduler& scheduler, const pool_name& pool) const {
    int count = 0;
    for (const auto& [id, vm] : vms_) {
        const auto order = orders_.find(id);
        const worker_state* const worker = worker_of(scheduler, vm.worker);
        count += order != orders_.end() ? (order->second.order.target_pool == pool ? 1 : 0)
                                        : (vm.pool == pool && vm.phase != fleet_vm_phase::down &&
                                                   (worker == nullptr || !worker->has_reported())
                                               ? 1
                                               : 0);
    }
    return count;
}

void fleet_planner::assign_vms(std::vector<std::pair<int, pool_name>>& shortages,
                               std::vector<const fleet_vm*>& standby_vms, std::vector<const fleet_vm*>& idle,
                               job_scheduler& scheduler, absl::Time now, std::size_t maximum_orders,
                               std::vector<vm_order>& orders) {
    // Assigns one VM to each pool in turn, so that no pool takes all VMs while several are short of them.
    bool has_assigned = true;
    while (has_assigned) {
        has_assigned = false;
        for (auto& [missing, pool] : shortages) {
            std::vector<const fleet_vm*>& from = standby_vms.empty() ? idle : standby_vms;
            if (missing <= 0 || from.empty() || orders.size() >= maximum_orders) {
                continue;
            }
            const fleet_vm* const vm = from.back();
            from.pop_back();
            --missing;
            has_assigned = true;
            scheduler.set_cordoned(vm->worker, true);
            add_order({.vm = vm->vm, .target_pool = pool}, now, orders);
        }
    }
}

void fleet_planner::handle_order_outcome(const vm_order& order, std::optional<bool> is_done,
                                         job_scheduler& scheduler) {
    const auto found = orders_.find(order.vm);
    if (found == orders_.end() || !is_done) {
        return;
    }
    if (!*is_done) {
        // The VM keeps its pool and its worker. A VM of a wave remains to be maintained.
        scheduler.set_cordoned(found->second.worker_before, false);
        orders_.erase(found);
        draining_.erase(order.vm);
        return;
    }
    found->second.is_confirmed = true;
    draining_.erase(order.vm);
    if (!order.wave.empty()) {
        maintained_[order.wave].insert(order.vm);
    }
}

}  // namespace masticpass
