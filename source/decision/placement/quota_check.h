#ifndef MASTICPASS_DECISION_PLACEMENT_QUOTA_CHECK_H
#define MASTICPASS_DECISION_PLACEMENT_QUOTA_CHECK_H

#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "common/identifier.h"
#include "decision/placement/placement_input.h"

namespace masticpass {

// A team whose pools have more VMs than its quota.
struct quota_excess {
    team_name team;
    int quota_vms = 0;
    int used_vms = 0;

    friend bool operator==(const quota_excess&, const quota_excess&) = default;
};

// The number of VMs of the pool that count against its team's quota, including VMs that are moving out or in.
// A moving VM counts for both teams until the move ends, so that neither team can exceed its quota in
// between.
int quota_usage(const placement_pool& pool);

// The teams above their quota, in the order of `quotas`. Teams without a quota are not limited.
std::vector<quota_excess> find_quota_excesses(absl::Span<const team_quota> quotas,
                                              absl::Span<const placement_pool> pools);

// Counts the VMs of each team while moves are planned.
// Ownership: one instance per round of moves. Thread safety: none, the caller serializes access.
class quota_tracker {
public:
    void set_quotas(absl::Span<const team_quota> quotas);
    void add_usage(const team_name& team, int vms);

    // True if a VM may move between pools of these teams. A move within a team is always permitted.
    bool permits_move(const team_name& from, const team_name& to) const;
    // Counts the VM of a planned move for the receiving team as well.
    void count_move(const team_name& from, const team_name& to);

private:
    absl::flat_hash_map<team_name, int> quota_vms_;
    absl::flat_hash_map<team_name, int> used_vms_;
};

}  // namespace masticpass

#endif
