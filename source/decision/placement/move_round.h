#ifndef MASTICPASS_DECISION_PLACEMENT_MOVE_ROUND_H
#define MASTICPASS_DECISION_PLACEMENT_MOVE_ROUND_H

#include <vector>

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>
#include <absl/types/span.h>

#include "common/identifier.h"
#include "decision/placement/planned_move.h"
#include "decision/placement/pool_assessment.h"
#include "decision/placement/quota_check.h"

namespace masticpass {

// Chooses the moves of one round from assessed pools.
// Ownership: lives for one round and borrows the pools and the policy. Thread safety: none.
class move_round {
public:
    // Brings the clocks of pools that give away VMs up to date while it plans.
    move_round(assessed_pools& pools, absl::Span<const team_quota> quotas, const placement_policy& policy,
               absl::Time now);

    // The moves in the order of importance. Call it once.
    std::vector<planned_move> choose();

private:
    // What a donor must keep.
    enum class donor_condition { keeps_needed_capacity, has_higher_coverage };

    // A pool that takes part in the round, with the effect of the moves chosen so far.
    struct participant {
        assessed_pool* pool = nullptr;
        domain_counts capacity;
        domain_counts unavailable;
        int size_without_moves = 0;
        // VMs that it may still give away in this round; a spare pool is bound by its own needs instead.
        int surplus_vms = 0;
        int moved_vms = 0;
        // Position in `pool->input.vms` of each VM that has a move.
        absl::flat_hash_set<std::size_t> moved_vm_indexes;
    };

    participant make_participant(assessed_pool& pool) const;
    bool has_shortage(const participant& receiver) const;
    // True if the donor's minimum and budget permit that the VM leaves.
    bool is_removal_permitted(const participant& donor, const placement_vm& vm) const;
    // True if the donor also holds its demand and declared losses without the VM.
    bool keeps_needed_capacity_without(const participant& donor, const placement_vm& vm) const;
    bool accepts(const participant& receiver, const placement_vm& vm, move_cause cause) const;
    // Position of the best VM for the receiver, or the number of VMs if the donor has none.
    std::size_t best_vm(const participant& donor, const participant& receiver, move_cause cause,
                        donor_condition condition) const;
    bool plan_move_from(participant& donor, participant& receiver, move_cause cause,
                        donor_condition condition);
    bool plan_one_move(participant& receiver, move_cause cause);
    // Takes a VM from the pool that is best off, if it stays better off than the receiver becomes.
    bool take_from_highest_coverage(participant& receiver);
    void fill_shortages();
    void refill_buffers();

    assessed_pools& pools_;
    const placement_policy& policy_;
    absl::Time now_;
    quota_tracker quotas_;
    std::vector<participant> participants_;
    // Indexes into `participants_`, in the order in which they are served or asked.
    std::vector<std::size_t> receivers_;
    std::vector<std::size_t> spare_pools_;
    std::vector<std::size_t> surplus_donors_;
    // True once every pool takes part, which only a shortage that no buffer or surplus covers needs.
    bool includes_all_pools_ = false;
    std::vector<planned_move> moves_;
};

}  // namespace masticpass

#endif
