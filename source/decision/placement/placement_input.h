#ifndef MASTICPASS_DECISION_PLACEMENT_PLACEMENT_INPUT_H
#define MASTICPASS_DECISION_PLACEMENT_PLACEMENT_INPUT_H

#include <optional>
#include <vector>

#include <absl/time/time.h>

#include "common/availability_budget.h"
#include "common/identifier.h"

namespace masticpass {

// What a pool's record and the observations say about a VM of the pool.
enum class placement_vm_state {
    serving,
    // Reserved, acting, failed, unreachable or ejected: it belongs to the pool but serves nothing.
    unavailable,
    // On its way out; it uses the budget and no longer counts towards the pool's size.
    moving_out,
    // On its way in; another pool's record may still list it.
    incoming,
};

// One VM as placement sees it.
struct placement_vm {
    vm_id vm;
    zone_name zone;
    rack_name rack;
    placement_vm_state state = placement_vm_state::serving;
    // False for a VM that must stay for a reason that the caller knows, such as a wave that is due to reserve
    // it.
    bool movable = true;

    friend bool operator==(const placement_vm&, const placement_vm&) = default;
};

// Everything that placement knows about a pool.
struct placement_pool {
    pool_name pool;
    team_name team;
    // Zones whose VMs the pool may have; empty permits all.
    std::vector<zone_name> zones = {};
    int minimum_vms = 0;
    int slots_per_vm = 8;
    bool urgent = false;
    bool spare = false;
    // VMs of the shared buffer that the pool holds beyond its own demand. Only for a spare pool.
    int buffer_vms = 0;
    bool survive_rack = false;
    bool survive_zone = false;
    availability_budget budget = {};
    // Sum of the sustained demand of the pool's services, from `demand_tracker`. The caller keeps the
    // previous figure while an estimate is not reliable.
    double sustained_slots = 0;
    std::vector<placement_vm> vms = {};

    friend bool operator==(const placement_pool&, const placement_pool&) = default;
};

// The most VMs that the pools of a team may have together.
struct team_quota {
    team_name team;
    int quota_vms = 0;
};

// Parameters of the decision.
struct placement_policy {
    // Capacity per sustained demand. The part above 1 works off the queue that a burst leaves.
    double headroom = 1.25;
    // Capacity per sustained demand that must remain after the declared loss of a rack or zone.
    double headroom_after_loss = 1.0;
    // A pool has a surplus only if it would also hold a demand higher by this share.
    double shrink_band = 0.1;
    // A shortage must last longer than a move takes, or the moved VM arrives after its end.
    absl::Duration min_shortage_duration = absl::Minutes(3);
    // A surplus must last this long. It is also the least time between two moves of a VM without demand
    // cause.
    absl::Duration min_surplus_duration = absl::Minutes(20);
    int max_moves_per_round = 8;
};

}  // namespace masticpass

#endif
