#ifndef MASTICPASS_DECISION_PLACEMENT_POOL_ASSESSMENT_H
#define MASTICPASS_DECISION_PLACEMENT_POOL_ASSESSMENT_H

#include <optional>

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include "common/identifier.h"
#include "decision/placement/placement_input.h"
#include "decision/placement/pool_spread.h"

namespace masticpass {

// The needs of a pool. They depend only on its own inputs, so they are computed again only when these change.
struct pool_assessment {
    // VMs needed for the sustained demand and the declared losses if they are spread evenly, plus the shared
    // buffer.
    int target_vms = 0;
    // VMs missing for the sustained demand or the declared losses with the current spread.
    int shortage_vms = 0;
    // VMs missing in the shared buffer of a spare pool.
    int buffer_shortage_vms = 0;
    // VMs that the pool can give away and still serve a demand that is higher by the shrink band.
    int surplus_vms = 0;

    friend bool operator==(const pool_assessment&, const pool_assessment&) = default;
};

// Since when a pool has had a shortage or a surplus.
struct pool_timers {
    std::optional<absl::Time> shortage_since = std::nullopt;
    std::optional<absl::Time> surplus_since = std::nullopt;
    // The smallest surplus since `surplus_since`; no more VMs may be given away.
    int minimum_surplus_vms = 0;

    friend bool operator==(const pool_timers&, const pool_timers&) = default;
};

// A pool's inputs with the assessment computed from them.
struct assessed_pool {
    placement_pool input;
    pool_assessment assessment;
    pool_timers timers;
};

// Orders pools by name.
struct pool_name_order {
    bool operator()(const pool_name& left, const pool_name& right) const {
        return left.value() < right.value();
    }
};

using assessed_pools = absl::btree_map<pool_name, assessed_pool, pool_name_order>;

// The demand of a pool, split by the means that can serve it.
struct demand_split {
    // Served by the slots that the pool has now.
    double served_slots = 0;
    // Sustained demand beyond the current slots, which moves can cover.
    double shortfall_slots = 0;
    // Demand beyond the sustained demand and the current slots. It ends before a move would, so it is handled
    // by spill-over between zones, queues and refusals.
    double burst_slots = 0;
};

// Splits a demand of `current_slots` at a pool.
demand_split split_demand(const placement_pool& pool, double current_slots);

// Assesses one pool. The result depends only on the arguments.
pool_assessment assess_pool(const placement_pool& pool, const placement_policy& policy);

// Starts, keeps or clears the timers. Calling it again with an unchanged assessment changes nothing.
void update_timers(pool_timers& timers, const pool_assessment& assessment, absl::Time now);

// The number of VMs that the pool lacks in addition to those in `capacity`, for its sustained demand times
// `demand_factor` and for the declared losses; at least 0. This number of VMs ends the shortage if they are
// not in the largest domain.
int shortage_of(const placement_pool& pool, const placement_policy& policy, const domain_counts& capacity,
                double demand_factor = 1.0);

// True if the VMs in `capacity` do not suffice for the sustained demand in normal operation, without any
// loss.
bool is_below_demand(const placement_pool& pool, const placement_policy& policy,
                     const domain_counts& capacity);

// True if the VM adds capacity that the pool lacks, in normal operation or after a declared loss. A
// comparison of the shortage with and without the VM would not show this, because the shortage stays the same
// if two domains are equally large.
bool reduces_shortage(const placement_pool& pool, const placement_policy& policy,
                      const domain_counts& capacity, const placement_vm& vm);

}  // namespace masticpass

#endif
