#ifndef MASTICPASS_DECISION_PLACEMENT_PLANNED_MOVE_H
#define MASTICPASS_DECISION_PLACEMENT_PLANNED_MOVE_H

#include "common/identifier.h"

namespace masticpass {

// Why a VM moves.
enum class move_cause {
    // The receiving pool lacks VMs for its sustained demand or for a declared loss.
    shortage,
    // The receiving spare pool has fewer VMs than its needs and the shared buffer require.
    buffer_refill,
};

// One VM to move between pools.
struct planned_move {
    vm_id vm;
    pool_name from;
    pool_name to;
    move_cause cause = move_cause::shortage;

    friend bool operator==(const planned_move&, const planned_move&) = default;
};

}  // namespace masticpass

#endif
