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

// Chooses the moves of one round from assessed pools. A donor gives VMs away, a receiver gets them.
// Ownership: used for one round; keeps references to the pools and the policy. Thread safety: none.
class move_round {
public:
    // choose() restarts the surplus timers of the pools that give VMs away.
    move_round(assessed_pools& pools, absl::Span<const team_quota> quotas, const placement_policy& policy,
               absl::Time now);

    // The moves in the order of their importance. To be called once.
    std::vector<planned_move> choose();

private:
    // The condition under which a donor may give a VM away.
    enum class donor_condition { keeps_needed_capacity, has_higher_coverage };

    // A pool that is considered in the round, with the effect of the moves chosen so far.
    struct participant {
        assessed_pool* pool = nullptr;
        domain_counts capacity;
        domain_counts unavailable;
        int size_without_moves = 0;
        // The number of VMs that it may give away in this round. A spare pool is limited by its own needs
        // instead.
        int surplus_vms = 0;
        int moved_vms = 0;
        // Indexes in `pool->input.vms` of the VMs for which a move is planned.
        absl::flat_hash_set<std::size_t> moved_vm_indexes;
    };

    participant make_participant(assessed_pool& pool) const;
    bool has_shortage(const participant& receiver) const;
    // True if the donor's minimum size and budget permit the removal of the VM.
    bool is_removal_permitted(const participant& donor, const placement_vm& vm) const;
    // True if the donor can serve its demand, also after a declared loss, without the VM.
    bool keeps_needed_capacity_without(const participant& donor, const placement_vm& vm) const;
    bool accepts(const participant& receiver, const placement_vm& vm, move_cause cause) const;
    // The index of the best VM for the receiver, or the number of VMs if the donor has none to give.
    std::size_t best_vm(const participant& donor, const participant& receiver, move_cause cause,
                        donor_condition condition) const;
    bool plan_move_from(participant& donor, participant& receiver, move_cause cause,
                        donor_condition condition);
    bool plan_one_move(participant& receiver, move_cause cause);
    // Plans a move from the pool with the highest coverage, if its coverage stays above that of the receiver.
    bool take_from_highest_coverage(participant& receiver);
    void fill_shortages();
    void refill_buffers();

    assessed_pools& pools_;
    const placement_policy& policy_;
    absl::Time now_;
    quota_tracker quotas_;
    std::vector<participant> participants_;
    // Indexes into `participants_`, in the order in which receivers get VMs and donors are tried.
    std::vector<std::size_t> receivers_;
    std::vector<std::size_t> spare_pools_;
    std::vector<std::size_t> surplus_donors_;
    // True once all pools are participants. This is needed only for a shortage that neither a buffer nor a
    // surplus covers.
    bool includes_all_pools_ = false;
    std::vector<planned_move> moves_;
};

}  // namespace masticpass

#endif
