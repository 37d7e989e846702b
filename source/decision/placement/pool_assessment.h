#ifndef MASTICPASS_DECISION_PLACEMENT_POOL_ASSESSMENT_H
#define MASTICPASS_DECISION_PLACEMENT_POOL_ASSESSMENT_H

#include <optional>

#include <absl/container/btree_map.h>
#include <absl/time/time.h>

#include "common/identifier.h"
#include "decision/placement/placement_input.h"
#include "decision/placement/pool_spread.h"

namespace masticpass {

// What a pool needs, from its own inputs only, so it is computed again only when they change.
struct pool_assessment {
    // VMs that the sustained demand and the declared losses need with an even spread, plus the shared buffer.
    int target_vms = 0;
    // VMs missing for the sustained demand or the declared losses with the present spread.
    int shortage_vms = 0;
    // VMs missing in a spare pool's shared buffer.
    int buffer_shortage_vms = 0;
    // VMs that the pool can give away and still hold a demand higher by the shrink band.
    int surplus_vms = 0;

    friend bool operator==(const pool_assessment&, const pool_assessment&) = default;
};

// Since when a pool is short or in surplus.
struct pool_timers {
    std::optional<absl::Time> shortage_since = std::nullopt;
    std::optional<absl::Time> surplus_since = std::nullopt;
    // The least surplus since `surplus_since`; no more may be given away.
    int min_surplus_vms = 0;

    friend bool operator==(const pool_timers&, const pool_timers&) = default;
};

// A pool's inputs with what was computed from them.
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

// Demand of a pool, split by what can help with it.
struct demand_split {
    // Held by the slots that serve now.
    double served_slots = 0;
    // Sustained demand beyond the present slots: moves help.
    double shortfall_slots = 0;
    // Demand beyond the sustained demand and the present slots: it ends before a move does, so it is left to
    // spill-over between zones, queues and refusals.
    double burst_slots = 0;
};

// Splits a demand of `current_slots` at a pool.
demand_split split_demand(const placement_pool& pool, double current_slots);

// Assesses one pool. It is a pure function of its arguments.
pool_assessment assess_pool(const placement_pool& pool, const placement_policy& policy);

// Starts, keeps or clears the clocks. Calling it again with an unchanged assessment changes nothing.
void update_timers(pool_timers& timers, const pool_assessment& assessment, absl::Time now);

// VMs that the pool misses with those in `capacity`, for its sustained demand times `demand_factor` and for
// the declared losses; at least 0. That many VMs end the shortage if they are in other domains than the
// largest.
int shortage_of(const placement_pool& pool, const placement_policy& policy, const domain_counts& capacity,
                double demand_factor = 1.0);

// True if the VMs in `capacity` do not hold the sustained demand, apart from any loss.
bool is_below_demand(const placement_pool& pool, const placement_policy& policy,
                     const domain_counts& capacity);

// True if the VM adds to what the pool misses: it serves the demand, or remains after a loss that the pool
// cannot hold. The shortage itself may stay equal when two domains are equally large, so it does not decide
// this.
bool reduces_shortage(const placement_pool& pool, const placement_policy& policy,
                      const domain_counts& capacity, const placement_vm& vm);

}  // namespace masticpass

#endif
