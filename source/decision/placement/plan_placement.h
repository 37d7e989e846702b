#ifndef MASTICPASS_DECISION_PLACEMENT_PLAN_PLACEMENT_H
#define MASTICPASS_DECISION_PLACEMENT_PLAN_PLACEMENT_H

#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/time/time.h>
#include <absl/types/span.h>

#include "common/identifier.h"
#include "decision/placement/placement_input.h"
#include "decision/placement/planned_move.h"
#include "decision/placement/pool_assessment.h"
#include "decision/placement/quota_check.h"

namespace masticpass {

// The target size of a pool and its shortage.
struct pool_target {
    pool_name pool;
    // VMs needed for the sustained demand and the declared losses, plus the shared buffer in a spare pool.
    int target_vms = 0;
    // VMs that the pool lacks before the planned moves.
    int shortage_vms = 0;

    friend bool operator==(const pool_target&, const pool_target&) = default;
};

// The result of one round.
struct placement_plan {
    // In the order of pool names.
    std::vector<pool_target> targets;
    // In the order of importance: moves to urgent pools first, buffer refills last.
    std::vector<planned_move> moves;

    friend bool operator==(const placement_plan&, const placement_plan&) = default;
};

// Since when each pool has had a shortage or a surplus. Kept between rounds.
using placement_history = absl::btree_map<pool_name, pool_timers, pool_name_order>;

// Plans one round from all inputs. `history` is read and updated.
// Preconditions: pool names are unique; `now` does not decrease between calls with the same history.
// A VM stays in its pool unless the plan contains a move of it; a plan contains at most one move of a VM. The
// caller executes the moves with the transitions of `move_transition.h` and reflects them in the next inputs.
// A move that it does not execute is planned again. Moves cover demand that lasts longer than a move takes.
// The remaining demand (see `split_demand`) is handled by spill-over between zones, queues and refusals. An
// urgent request never waits for a move: its start within 4.1 s depends on the slots that its pool already
// has.
placement_plan plan_placement(absl::Span<const placement_pool> pools, absl::Span<const team_quota> quotas,
                              const placement_policy& policy, placement_history& history, absl::Time now);

// Plans rounds incrementally: only pools whose inputs have changed are assessed again. Each plan equals the
// one that `plan_placement` computes from all inputs with the same history. Ownership: one instance per
// placement agent. Thread safety: none, the caller serializes access.
class placement_planner {
public:
    explicit placement_planner(placement_policy policy = {}) : policy_(policy) {}

    // Replaces the inputs of a pool. Unchanged inputs cause no work in the next round.
    void update_pool(placement_pool pool);
    // Removes a pool that is no longer declared.
    void remove_pool(const pool_name& pool);
    void set_quotas(absl::Span<const team_quota> quotas);

    // Plans one round. Precondition: `now` does not decrease between calls.
    placement_plan plan(absl::Time now);

    // The number of pools that the last round assessed again.
    int reassessed_pools() const { return reassessed_pools_; }

private:
    placement_policy policy_;
    std::vector<team_quota> quotas_;
    assessed_pools pools_;
    absl::btree_set<pool_name, pool_name_order> changed_;
    int reassessed_pools_ = 0;
};

}  // namespace masticpass

#endif
