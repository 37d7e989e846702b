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

bool has_lasting(const worker_state& worker) {
    return worker.reserved_lasting != resource_amount{};
}

std::size_t run_count(const job_scheduler& scheduler, const vm_state& vm) {
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
    waves_.assign(waves.begin(), waves.end());
    for (const wave_request& wave : waves_) {
        wave_known_since_.try_emplace(wave.name, now);
    }
}

bool fleet_planner::may_close(const wave_request& wave, const vm_state& vm, const job_scheduler& scheduler,
                              absl::Time now) const {
    const auto known = wave_known_since_.find(wave.name);
    const worker_state* const worker = worker_of(scheduler, vm.worker);
    if (worker == nullptr) {
        return false;
    }
    const bool is_patient =
        known != wave_known_since_.end() && now < known->second + limits_.patient_share * wave.within;
    if (!is_patient || worker->is_known_to_be_idle()) {
        return true;
    }
    const int early = std::max(1, static_cast<int>(limits_.early_lasting_share * wave.maximum_down));
    return has_lasting(*worker) && closing_with_lasting(scheduler) < early;
}

int fleet_planner::closing_with_lasting(const job_scheduler& scheduler) const {
    return static_cast<int>(std::count_if(closing_.begin(), closing_.end(), [&](const auto& entry) {
        const worker_state* const worker = worker_of(scheduler, entry.second.worker);
        return worker != nullptr && has_lasting(*worker);
    }));
}

void fleet_planner::block(std::span<const vm_id> vms, absl::Time until) {
    for (const vm_id& vm : vms) {
        blocked_until_[vm] = until;
    }
}

bool fleet_planner::is_in_use(const vm_id& vm, absl::Time now) const {
    const auto blocked = blocked_until_.find(vm);
    return orders_.contains(vm) || closing_.contains(vm) ||
           (blocked != blocked_until_.end() && now < blocked->second);
}

const vm_state* fleet_planner::find(const vm_id& vm) const {
    const auto found = vms_.find(vm);
    return found == vms_.end() ? nullptr : &found->second;
}

void fleet_planner::set_vms(std::span<const vm_state> vms, absl::Time listed_at) {
    vms_.clear();
    for (const vm_state& vm : vms) {
        vms_.emplace(vm.vm, vm);
    }
    listed_at_ = listed_at;
    settle_orders(listed_at);
}

std::vector<worker_id> fleet_planner::gone_workers(const job_scheduler& scheduler) const {
    std::set<worker_id> present;
    for (const auto& [id, vm] : vms_) {
        if (vm.phase == vm_phase::up) {
            present.insert(vm.worker);
        }
    }
    std::vector<worker_id> gone;
    for (const auto& [id, worker] : scheduler.workers()) {
        if (!present.contains(id) && !worker.is_gone && worker.known_since + limits_.list_age < listed_at_) {
            gone.push_back(id);
        }
    }
    return gone;
}

void fleet_planner::give(vm_order order, absl::Time now, std::vector<vm_order>& orders) {
    order_state& state = orders_[order.vm];
    state.order = order;
    state.ordered_at = now;
    if (const vm_state* const vm = find(order.vm); vm != nullptr && state.worker_before.empty()) {
        state.worker_before = vm->worker;
    }
    orders.push_back(std::move(order));
}

void fleet_planner::settle_orders(absl::Time listed_at) {
    std::erase_if(orders_, [&](const auto& entry) {
        const order_state& state = entry.second;
        const vm_state* const vm = find(entry.first);
        if (vm == nullptr) {
            return true;
        }
        const absl::Duration shortest =
            state.order.is_move() ? limits_.shortest_move : limits_.shortest_maintenance;
        if (!state.is_confirmed || listed_at < state.ordered_at + shortest || vm->phase != vm_phase::up) {
            return false;
        }
        return state.order.is_move() ? vm->pool == state.order.target
                                     : vm->worker.empty() || vm->worker != state.worker_before;
    });
    std::erase_if(closing_, [&](const auto& entry) {
        const vm_state* const vm = find(entry.first);
        return vm == nullptr || (!vm->worker.empty() && vm->worker != entry.second.worker);
    });
}

std::vector<vm_id> fleet_planner::maintained(const wave_name& wave) const {
    const auto found = maintained_.find(wave);
    return found == maintained_.end() ? std::vector<vm_id>{}
                                      : std::vector<vm_id>(found->second.begin(), found->second.end());
}

bool fleet_planner::is_completed(const wave_request& wave) const {
    const auto done = maintained_.find(wave.name);
    return std::all_of(wave.vms.begin(), wave.vms.end(), [&](const vm_id& vm) {
        return (done != maintained_.end() && done->second.contains(vm)) || find(vm) == nullptr;
    });
}

std::vector<vm_order> fleet_planner::plan(job_scheduler& scheduler, std::span<const worker_pool_rules> pools,
                                          absl::Time now, std::size_t maximum_orders) {
    std::vector<vm_order> orders;
    for (auto& [vm, state] : orders_) {
        if (!state.is_confirmed && now >= state.ordered_at + limits_.order_retry) {
            give(vm_order(state.order), now, orders);
        }
    }
    for (const wave_request& wave : waves_) {
        plan_wave(wave, scheduler, pools, now, orders);
    }
    empty_closing(scheduler, now, orders);
    plan_moves(scheduler, pools, now, maximum_orders, orders);
    return orders;
}

int fleet_planner::down_vms(const wave_request& wave, absl::Time now) const {
    return static_cast<int>(std::count_if(wave.vms.begin(), wave.vms.end(), [&](const vm_id& id) {
        const vm_state* const vm = find(id);
        const auto order = orders_.find(id);
        const auto blocked = blocked_until_.find(id);
        return (order != orders_.end() && order->second.order.wave == wave.name) ||
               (vm != nullptr && vm->phase == vm_phase::in_maintenance) ||
               (blocked != blocked_until_.end() && now < blocked->second);
    }));
}

void fleet_planner::plan_wave(const wave_request& wave, job_scheduler& scheduler,
                              std::span<const worker_pool_rules> pools, absl::Time now,
                              std::vector<vm_order>& orders) {
    const std::set<vm_id>& done = maintained_[wave.name];
    int closing = 0;
    std::vector<const vm_state*> open;
    for (const vm_id& id : wave.vms) {
        const vm_state* const vm = find(id);
        closing += closing_.contains(id) ? 1 : 0;
        if (vm != nullptr && vm->phase == vm_phase::up && !done.contains(id) && !is_in_use(id, now)) {
            open.push_back(vm);
        }
    }
    std::stable_sort(open.begin(), open.end(), [&](const vm_state* left, const vm_state* right) {
        return run_count(scheduler, *left) < run_count(scheduler, *right);
    });
    for (const vm_state* const vm : open) {
        if (is_standby(pools, vm->pool) || vm->worker.empty()) {
            if (down_vms(wave, now) + closing < wave.maximum_down) {
                give({.vm = vm->vm, .wave = wave.name}, now, orders);
            }
            continue;
        }
        if (down_vms(wave, now) + closing >= wave.maximum_down + limits_.closing_ahead) {
            break;
        }
        if (!may_close(wave, *vm, scheduler, now)) {
            continue;
        }
        ++closing;
        closing_[vm->vm] = {.wave = wave.name, .worker = vm->worker, .since = now};
        scheduler.set_cordoned(vm->worker, true);
    }
}

void fleet_planner::empty_closing(job_scheduler& scheduler, absl::Time now, std::vector<vm_order>& orders) {
    for (const auto& [id, state] : closing_) {
        const closing_vm& closing = state;
        scheduler.set_cordoned(closing.worker, true);
        const worker_state* const worker = worker_of(scheduler, closing.worker);
        if (worker != nullptr && !worker->runs.empty()) {
            scheduler.evict_long_running_tasks(closing.worker, now);
            if (now - closing.since > limits_.patience_with_runs) {
                scheduler.evict_finite_tasks(closing.worker);
            }
            continue;
        }
        // A worker that has not reported to this owner may have lasting tasks.
        if (worker == nullptr || !worker->is_known_to_be_idle()) {
            continue;
        }
        const auto wave = std::find_if(waves_.begin(), waves_.end(), [&](const wave_request& request) {
            return request.name == closing.wave;
        });
        if (wave != waves_.end() && !orders_.contains(id) && down_vms(*wave, now) < wave->maximum_down) {
            give({.vm = id, .wave = closing.wave}, now, orders);
        }
    }
}

std::vector<const vm_state*> fleet_planner::idle_vms(const job_scheduler& scheduler, const pool_name& pool,
                                                     absl::Time now) const {
    std::vector<const vm_state*> idle;
    for (const auto& [id, vm] : vms_) {
        const worker_state* const worker = worker_of(scheduler, vm.worker);
        if (vm.pool == pool && vm.phase == vm_phase::up && !is_in_use(id, now) && worker != nullptr &&
            worker->is_listed && worker->is_reachable && !worker->entry.is_draining &&
            worker->is_known_to_be_idle()) {
            idle.push_back(&vm);
        }
    }
    return idle;
}

int fleet_planner::present_vms(const job_scheduler& scheduler, const pool_name& pool) const {
    int count = 0;
    for (const auto& [id, vm] : vms_) {
        const auto order = orders_.find(id);
        if (order != orders_.end()) {
            count += order->second.order.target == pool ? 1 : 0;
            continue;
        }
        const worker_state* const worker = worker_of(scheduler, vm.worker);
        const bool is_leaving = closing_.contains(id) || (worker != nullptr && worker->entry.is_draining);
        count += vm.pool == pool && vm.phase != vm_phase::down && !is_leaving ? 1 : 0;
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

int fleet_planner::separate_vms(const job_scheduler& scheduler, const pool_name& pool) {
    const auto load = scheduler.loads().find(pool);
    return load == scheduler.loads().end() ? 0 : load->second.additional_workers;
}

void fleet_planner::plan_moves(job_scheduler& scheduler, std::span<const worker_pool_rules> pools,
                               absl::Time now, std::size_t maximum_orders, std::vector<vm_order>& orders) {
    observe_demand(scheduler, pools, now);
    std::vector<const vm_state*> spare;
    std::optional<pool_name> standby;
    std::vector<const vm_state*> idle;
    std::vector<const vm_state*> returning;
    std::vector<std::pair<int, pool_name>> short_of;
    for (const worker_pool_rules& pool : pools) {
        if (pool.is_standby) {
            standby = standby.value_or(pool.name);
            for (const auto& [id, vm] : vms_) {
                if (vm.pool == pool.name && vm.phase == vm_phase::up && !is_in_use(id, now)) {
                    spare.push_back(&vm);
                }
            }
            continue;
        }
        const pool_demand& demand = demands_.at(pool.name);
        const int present = present_vms(scheduler, pool.name);
        const int apart = separate_vms(scheduler, pool.name);
        const int needed = demand.needed_vms(vm_cores_, vm_memory_mb_);
        const int missing = std::max(needed - present, apart - joining_vms(scheduler, pool.name));
        if (missing > 0) {
            short_of.emplace_back(missing, pool.name);
            continue;
        }
        // Other pools may have what this one does not need now; what it keeps follows falling arrivals.
        int lendable = apart > 0 ? 0 : present - std::max(limits_.kept_in_pool, needed);
        int surplus = apart > 0 ? 0 : present - std::max(limits_.kept_in_pool, demand.kept_vms(vm_cores_));
        for (const vm_state* const vm : idle_vms(scheduler, pool.name, now)) {
            const worker_state* const worker = worker_of(scheduler, vm->worker);
            if (lendable > 0) {
                idle.push_back(vm);
                --lendable;
            }
            if (surplus > 0 && now - worker->idle_since >= limits_.idle_before_return) {
                returning.push_back(vm);
                --surplus;
            }
        }
    }
    call_vms(short_of, spare, idle, scheduler, now, maximum_orders, orders);
    if (!standby) {
        return;
    }
    for (const vm_state* const vm : returning) {
        if (orders.size() >= maximum_orders) {
            return;
        }
        // Another pool may have called it.
        if (orders_.contains(vm->vm)) {
            continue;
        }
        scheduler.set_cordoned(vm->worker, true);
        give({.vm = vm->vm, .target = *standby}, now, orders);
    }
}

int fleet_planner::joining_vms(const job_scheduler& scheduler, const pool_name& pool) const {
    int count = 0;
    for (const auto& [id, vm] : vms_) {
        const auto order = orders_.find(id);
        const worker_state* const worker = worker_of(scheduler, vm.worker);
        count += order != orders_.end() ? (order->second.order.target == pool ? 1 : 0)
                                        : (vm.pool == pool && vm.phase != vm_phase::down &&
                                                   (worker == nullptr || !worker->is_synced)
                                               ? 1
                                               : 0);
    }
    return count;
}

void fleet_planner::call_vms(std::vector<std::pair<int, pool_name>>& short_of,
                             std::vector<const vm_state*>& spare, std::vector<const vm_state*>& idle,
                             job_scheduler& scheduler, absl::Time now, std::size_t maximum_orders,
                             std::vector<vm_order>& orders) {
    // In turn, so that no pool takes what several are short of.
    bool has_called = true;
    while (has_called) {
        has_called = false;
        for (auto& [missing, pool] : short_of) {
            std::vector<const vm_state*>& from = spare.empty() ? idle : spare;
            if (missing <= 0 || from.empty() || orders.size() >= maximum_orders) {
                continue;
            }
            const vm_state* const vm = from.back();
            from.pop_back();
            --missing;
            has_called = true;
            scheduler.set_cordoned(vm->worker, true);
            give({.vm = vm->vm, .target = pool}, now, orders);
        }
    }
}

void fleet_planner::note_outcome(const vm_order& order, std::optional<bool> is_done,
                                 job_scheduler& scheduler) {
    const auto found = orders_.find(order.vm);
    if (found == orders_.end() || !is_done) {
        return;
    }
    if (!*is_done) {
        // The VM stays as it is. A VM of a wave is still to be maintained.
        scheduler.set_cordoned(found->second.worker_before, false);
        orders_.erase(found);
        closing_.erase(order.vm);
        return;
    }
    found->second.is_confirmed = true;
    closing_.erase(order.vm);
    if (!order.wave.empty()) {
        maintained_[order.wave].insert(order.vm);
    }
}

}  // namespace masticpass
