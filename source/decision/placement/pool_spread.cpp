#include "decision/placement/pool_spread.h"

#include <algorithm>

namespace masticpass {

namespace {

template <typename Counts, typename Key>
void change_count(Counts& counts, const Key& key, int change) {
    const auto found = counts.try_emplace(key, 0).first;
    found->second += change;
    if (found->second == 0) {
        counts.erase(found);
    }
}

template <typename Counts, typename Key>
int largest_count(const Counts& counts, const Key* except = nullptr) {
    int largest = 0;
    for (const auto& [key, count] : counts) {
        if (except == nullptr || key != *except) {
            largest = std::max(largest, count);
        }
    }
    return largest;
}

}  // namespace

void domain_counts::add(const placement_vm& vm, int change) {
    total_ += change;
    change_count(zones_, vm.zone, change);
    change_count(racks_, rack_key(vm.zone, vm.rack), change);
}

int domain_counts::in_zone(const zone_name& zone) const {
    const auto found = zones_.find(zone);
    return found == zones_.end() ? 0 : found->second;
}

int domain_counts::in_rack(const zone_name& zone, const rack_name& rack) const {
    const auto found = racks_.find(rack_key(zone, rack));
    return found == racks_.end() ? 0 : found->second;
}

int domain_counts::largest_zone() const {
    return largest_count<decltype(zones_), zone_name>(zones_);
}

int domain_counts::largest_rack() const {
    return largest_count<decltype(racks_), rack_key>(racks_);
}

int domain_counts::largest_zone_except(const placement_vm& vm) const {
    return largest_count(zones_, &vm.zone);
}

int domain_counts::largest_rack_except(const placement_vm& vm) const {
    const rack_key rack(vm.zone, vm.rack);
    return largest_count(racks_, &rack);
}

domain_counts capacity_of(const placement_pool& pool) {
    domain_counts counts;
    for (const auto& vm : pool.vms) {
        if (vm.state == placement_vm_state::serving || vm.state == placement_vm_state::incoming) {
            counts.add(vm, 1);
        }
    }
    return counts;
}

domain_counts unavailable_of(const placement_pool& pool) {
    domain_counts counts;
    for (const auto& vm : pool.vms) {
        if (vm.state == placement_vm_state::unavailable || vm.state == placement_vm_state::moving_out) {
            counts.add(vm, 1);
        }
    }
    return counts;
}

int size_without_moves(const placement_pool& pool) {
    return static_cast<int>(std::count_if(pool.vms.begin(), pool.vms.end(), [](const placement_vm& vm) {
        return vm.state == placement_vm_state::serving || vm.state == placement_vm_state::unavailable;
    }));
}

bool budget_permits(const availability_budget& budget, const domain_counts& unavailable,
                    const placement_vm& vm) {
    const int in_zone = unavailable.in_zone(vm.zone);
    const int in_rack = unavailable.in_rack(vm.zone, vm.rack);
    if (unavailable.total() >= budget.max_unavailable) {
        return false;
    }
    if (budget.max_unavailable_per_zone && in_zone >= *budget.max_unavailable_per_zone) {
        return false;
    }
    if (budget.max_unavailable_per_rack && in_rack >= *budget.max_unavailable_per_rack) {
        return false;
    }
    if (budget.max_zones_unavailable && in_zone == 0 &&
        unavailable.zones() >= *budget.max_zones_unavailable) {
        return false;
    }
    return !budget.max_racks_unavailable || in_rack > 0 ||
           unavailable.racks() < *budget.max_racks_unavailable;
}

}  // namespace masticpass
