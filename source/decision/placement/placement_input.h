#ifndef MASTICPASS_DECISION_PLACEMENT_PLACEMENT_INPUT_H
#define MASTICPASS_DECISION_PLACEMENT_PLACEMENT_INPUT_H

#include <optional>
#include <vector>

#include <absl/time/time.h>

#include "common/availability_budget.h"
#include "common/identifier.h"

namespace masticpass {

// The state of a VM of a pool, from the pool's record and the observations.
enum class placement_vm_state {
    serving,
    // Reserved, acting, failed, unreachable or ejected: it belongs to the pool but serves no requests.
    unavailable,
    // Moving to another pool: it counts as unavailable in the budget and no longer towards the pool's size.
    moving_out,
    // Moving into this pool; another pool's record may still list it.
    incoming,
};

// One VM in the input of the placement.
struct placement_vm {
    vm_id vm;
    zone_name zone;
    rack_name rack;
    placement_vm_state state = placement_vm_state::serving;
    // False if the VM must stay in its pool, for example because a wave is about to reserve it. Set by the
    // caller.
    bool movable = true;

    friend bool operator==(const placement_vm&, const placement_vm&) = default;
};

// One pool in the input of the placement.
struct placement_pool {
    pool_name pool;
    team_name team;
    // The zones in which the pool may have VMs; empty permits all.
    std::vector<zone_name> zones = {};
    int minimum_vms = 0;
    int slots_per_vm = 8;
    bool urgent = false;
    bool spare = false;
    // The size of the shared buffer that a spare pool holds in addition to its own demand.
    int buffer_vms = 0;
    bool survive_rack = false;
    bool survive_zone = false;
    availability_budget budget = {};
    // The sum of the sustained demand of the pool's services, from `demand_tracker`. The caller keeps the
    // previous value while an estimate is not reliable.
    double sustained_slots = 0;
    std::vector<placement_vm> vms = {};

    friend bool operator==(const placement_pool&, const placement_pool&) = default;
};

// The maximum number of VMs that the pools of a team may have together.
struct team_quota {
    team_name team;
    int quota_vms = 0;
};

// Parameters of the placement.
struct placement_policy {
    // Capacity per sustained demand. The part above 1 processes the queue that a burst leaves behind.
    double headroom = 1.25;
    // Capacity per sustained demand that must remain after the declared loss of a rack or zone.
    double headroom_after_loss = 1.0;
    // A pool has a surplus only if its capacity also suffices for a demand that is higher by this share.
    double shrink_band = 0.1;
    // A shortage must last longer than a move takes; otherwise the moved VM would arrive after its end.
    absl::Duration minimum_shortage_duration = absl::Minutes(3);
    // A surplus must last this long. This is also the least time between two moves of a VM that are not
    // caused by demand.
    absl::Duration minimum_surplus_duration = absl::Minutes(20);
    int maximum_moves_per_round = 8;
};

}  // namespace masticpass

#endif
