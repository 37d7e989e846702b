#ifndef MASTICPASS_DECISION_PLACEMENT_POOL_SPREAD_H
#define MASTICPASS_DECISION_PLACEMENT_POOL_SPREAD_H

#include <utility>

#include <absl/container/flat_hash_map.h>

#include "common/identifier.h"
#include "decision/placement/placement_input.h"

namespace masticpass {

// Counts VMs in total, per zone and per rack.
// Thread safety: none, the caller serializes access.
class domain_counts {
public:
    void add(const placement_vm& vm, int change);

    int total() const { return total_; }
    int in_zone(const zone_name& zone) const;
    int in_rack(const zone_name& zone, const rack_name& rack) const;
    int largest_zone() const;
    int largest_rack() const;
    // The number of VMs in the largest zone, or rack, other than that of the VM.
    int largest_zone_except(const placement_vm& vm) const;
    int largest_rack_except(const placement_vm& vm) const;
    // The number of zones, or racks, that have at least one VM.
    int zones() const { return static_cast<int>(zones_.size()); }
    int racks() const { return static_cast<int>(racks_.size()); }

private:
    // Rack names need to be unique only within their zone.
    using rack_key = std::pair<zone_name, rack_name>;

    int total_ = 0;
    absl::flat_hash_map<zone_name, int> zones_;
    absl::flat_hash_map<rack_key, int> racks_;
};

// Counts the VMs of a pool that serve or are moving in.
domain_counts capacity_of(const placement_pool& pool);

// Counts the VMs of a pool that are unavailable in the sense of its budget.
domain_counts unavailable_of(const placement_pool& pool);

// The pool's size in the sense of `minimum_vms`, which excludes VMs that are moving in or out.
int size_without_moves(const placement_pool& pool);

// True if the budget permits `vm` to become unavailable in addition to the VMs in `unavailable`.
bool budget_permits(const availability_budget& budget, const domain_counts& unavailable,
                    const placement_vm& vm);

}  // namespace masticpass

#endif
