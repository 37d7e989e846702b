#ifndef MASTICPASS_DECISION_PLACEMENT_POOL_SPREAD_H
#define MASTICPASS_DECISION_PLACEMENT_POOL_SPREAD_H

#include <utility>

#include <absl/container/flat_hash_map.h>

#include "common/identifier.h"
#include "decision/placement/placement_input.h"

namespace masticpass {

// Number of VMs per zone and per rack.
// Thread safety: none, the caller serializes access.
class domain_counts {
public:
    void add(const placement_vm& vm, int change);

    int total() const { return total_; }
    int in_zone(const zone_name& zone) const;
    int in_rack(const zone_name& zone, const rack_name& rack) const;
    int largest_zone() const;
    int largest_rack() const;
    // The largest of the zones, or racks, that the VM is not in.
    int largest_zone_except(const placement_vm& vm) const;
    int largest_rack_except(const placement_vm& vm) const;
    // Zones and racks that have at least one VM.
    int zones() const { return static_cast<int>(zones_.size()); }
    int racks() const { return static_cast<int>(racks_.size()); }

private:
    // A rack name needs to be unique only within its zone.
    using rack_key = std::pair<zone_name, rack_name>;

    int total_ = 0;
    absl::flat_hash_map<zone_name, int> zones_;
    absl::flat_hash_map<rack_key, int> racks_;
};

// The VMs of a pool that serve or are on their way in.
domain_counts capacity_of(const placement_pool& pool);

// The VMs of a pool that use its budget.
domain_counts unavailable_of(const placement_pool& pool);

// The pool's size as `minimum_vms` counts it: without VMs on their way in or out.
int size_without_moves(const placement_pool& pool);

// True if the budget permits that `vm` becomes unavailable in addition to `unavailable`.
bool budget_permits(const availability_budget& budget, const domain_counts& unavailable,
                    const placement_vm& vm);

}  // namespace masticpass

#endif
