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
    move_round(planned_pools& pools, absl::Span<const team_quota> quotas, const placement_policy& policy,
               absl::Time now);

    // The moves in the order of importance. Call it once.
    std::vector<planned_move> choose();

private:
    // What a donor must keep.
    enum class donor_condition { holds_its_needs, better_off_than_receiver };

    // A pool that takes part in the round, with the effect of the moves chosen so far.
    struct participant {
        planned_pool* pool = nullptr;
        domain_counts capacity;
        domain_counts unavailable;
        int settled_size = 0;
        // VMs that it may still give away in this round; a spare pool is bound by its own needs instead.
        int surplus_vms = 0;
        int given_vms = 0;
        // Position in `pool->input.vms` of each VM that has a move.
        absl::flat_hash_set<std::size_t> leaving;
    };

    participant enter(planned_pool& pool) const;
    bool is_short(const participant& receiver) const;
    // True if the donor's minimum and budget permit that the VM leaves.
    bool may_leave(const participant& donor, const placement_vm& vm) const;
    // True if the donor also holds its demand and declared losses without the VM.
    bool can_spare(const participant& donor, const placement_vm& vm) const;
    bool accepts(const participant& receiver, const placement_vm& vm, move_cause cause) const;
    // Position of the best VM for the receiver, or the number of VMs if the donor has none.
    std::size_t best_vm(const participant& donor, const participant& receiver, move_cause cause,
                        donor_condition condition) const;
    bool take_from(participant& donor, participant& receiver, move_cause cause, donor_condition condition);
    bool fill_one(participant& receiver, move_cause cause);
    // Takes a VM from the pool that is best off, if it stays better off than the receiver becomes.
    bool take_from_best_off(participant& receiver);
    void fill_shortages();
    void refill_buffers();

    planned_pools& pools_;
    const placement_policy& policy_;
    absl::Time now_;
    quota_ledger quotas_;
    std::vector<participant> participants_;
    // Indexes into `participants_`, in the order in which they are served or asked.
    std::vector<std::size_t> receivers_;
    std::vector<std::size_t> spares_;
    std::vector<std::size_t> surplus_donors_;
    // True once every pool takes part, which only a shortage that no buffer or surplus covers needs.
    bool all_entered_ = false;
    std::vector<planned_move> moves_;
};

}  // namespace masticpass

#endif
