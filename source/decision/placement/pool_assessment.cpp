#include "decision/placement/pool_assessment.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include <absl/container/flat_hash_set.h>

namespace masticpass {

namespace {

// Prevents a demand that is a whole number of VMs from being rounded up to the next one.
constexpr double rounding_tolerance = 1e-9;

int vms_for_slots(double slots, int slots_per_vm) {
    return static_cast<int>(std::ceil(slots / std::max(slots_per_vm, 1) - rounding_tolerance));
}

// VMs that a pool needs in normal operation and after a declared loss.
struct required_vms {
    int normal = 0;
    int after_loss = 0;
};

required_vms required_vms_of(const placement_pool& pool, const placement_policy& policy,
                             double demand_factor) {
    const double slots = pool.sustained_slots * demand_factor;
    return {std::max(pool.minimum_vms, vms_for_slots(slots * policy.headroom, pool.slots_per_vm)),
            vms_for_slots(slots * policy.headroom_after_loss, pool.slots_per_vm)};
}

int zone_count(const placement_pool& pool) {
    if (!pool.zones.empty()) {
        return static_cast<int>(pool.zones.size());
    }
    absl::flat_hash_set<zone_name> zones;
    for (const auto& vm : pool.vms) {
        zones.insert(vm.zone);
    }
    return static_cast<int>(zones.size());
}

int target_of(const placement_pool& pool, const placement_policy& policy) {
    const auto need = required_vms_of(pool, policy, 1.0);
    int target = need.normal;
    if (pool.survive_rack && need.after_loss > 0) {
        target = std::max(target, need.after_loss + 1);
    }
    const int zones = zone_count(pool);
    // A pool with only one zone cannot survive its loss at any size.
    if (pool.survive_zone && zones > 1) {
        while (target - (target + zones - 1) / zones < need.after_loss) {
            ++target;
        }
    }
    return target + (pool.spare ? pool.buffer_vms : 0);
}

// The candidate in the largest zone and, within it, in the largest rack; null if there are no candidates.
const placement_vm* vm_in_largest_domain(absl::Span<const placement_vm* const> candidates,
                                         const domain_counts& capacity) {
    const placement_vm* best = nullptr;
    std::pair<int, int> best_counts;
    for (const auto* vm : candidates) {
        const std::pair counts(capacity.in_zone(vm->zone), capacity.in_rack(vm->zone, vm->rack));
        if (best == nullptr || counts > best_counts) {
            best = vm;
            best_counts = counts;
        }
    }
    return best;
}

int surplus_of(const placement_pool& pool, const placement_policy& policy, domain_counts capacity) {
    const double factor = 1 + policy.shrink_band;
    const int above_demand = capacity.total() - required_vms_of(pool, policy, factor).normal;
    const int above_minimum = size_without_moves(pool) - pool.minimum_vms;
    const int limit = std::min(above_demand, above_minimum);
    if (pool.spare || limit <= 0) {
        return 0;
    }
    std::vector<const placement_vm*> candidates;
    for (const auto& vm : pool.vms) {
        if (vm.state == placement_vm_state::serving && vm.movable) {
            candidates.push_back(&vm);
        }
    }
    int surplus = 0;
    while (surplus < limit) {
        const auto* vm = vm_in_largest_domain(candidates, capacity);
        if (vm == nullptr) {
            break;
        }
        capacity.add(*vm, -1);
        if (shortage_of(pool, policy, capacity, factor) > 0) {
            break;
        }
        std::erase(candidates, vm);
        ++surplus;
    }
    return surplus;
}

}  // namespace

int shortage_of(const placement_pool& pool, const placement_policy& policy, const domain_counts& capacity,
                double demand_factor) {
    const auto need = required_vms_of(pool, policy, demand_factor);
    int shortage = std::max(0, need.normal - capacity.total());
    if (pool.survive_rack) {
        shortage = std::max(shortage, need.after_loss - (capacity.total() - capacity.largest_rack()));
    }
    if (pool.survive_zone) {
        shortage = std::max(shortage, need.after_loss - (capacity.total() - capacity.largest_zone()));
    }
    return shortage;
}

bool is_below_demand(const placement_pool& pool, const placement_policy& policy,
                     const domain_counts& capacity) {
    return required_vms_of(pool, policy, 1.0).normal > capacity.total();
}

bool reduces_shortage(const placement_pool& pool, const placement_policy& policy,
                      const domain_counts& capacity, const placement_vm& vm) {
    const auto need = required_vms_of(pool, policy, 1.0);
    const auto loss_is_short = [&](int lost) { return need.after_loss > capacity.total() - lost; };
    return need.normal > capacity.total() ||
           (pool.survive_rack && loss_is_short(capacity.largest_rack_except(vm))) ||
           (pool.survive_zone && loss_is_short(capacity.largest_zone_except(vm)));
}

demand_split split_demand(const placement_pool& pool, double current_slots) {
    const auto serving = std::count_if(pool.vms.begin(), pool.vms.end(), [](const placement_vm& vm) {
        return vm.state == placement_vm_state::serving;
    });
    const auto capacity = static_cast<double>(serving) * pool.slots_per_vm;
    demand_split split;
    split.served_slots = std::min(current_slots, capacity);
    const double excess = current_slots - split.served_slots;
    split.shortfall_slots = std::min(excess, std::max(0.0, pool.sustained_slots - capacity));
    split.burst_slots = excess - split.shortfall_slots;
    return split;
}

pool_assessment assess_pool(const placement_pool& pool, const placement_policy& policy) {
    const auto capacity = capacity_of(pool);
    pool_assessment result;
    result.target_vms = target_of(pool, policy);
    result.shortage_vms = shortage_of(pool, policy, capacity);
    if (pool.spare) {
        result.buffer_shortage_vms = std::max(0, result.target_vms - capacity.total());
    }
    if (result.shortage_vms == 0) {
        result.surplus_vms = surplus_of(pool, policy, capacity);
    }
    return result;
}

void update_timers(pool_timers& timers, const pool_assessment& assessment, absl::Time now) {
    if (assessment.shortage_vms == 0) {
        timers.shortage_since.reset();
    } else if (!timers.shortage_since) {
        timers.shortage_since = now;
    }
    if (assessment.surplus_vms == 0) {
        timers.surplus_since.reset();
        timers.minimum_surplus_vms = 0;
    } else if (!timers.surplus_since) {
        timers.surplus_since = now;
        timers.minimum_surplus_vms = assessment.surplus_vms;
    } else {
        timers.minimum_surplus_vms = std::min(timers.minimum_surplus_vms, assessment.surplus_vms);
    }
}

}  // namespace masticpass
