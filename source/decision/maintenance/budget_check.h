#ifndef MASTICPASS_DECISION_MAINTENANCE_BUDGET_CHECK_H
#define MASTICPASS_DECISION_MAINTENANCE_BUDGET_CHECK_H

#include <map>
#include <optional>
#include <set>
#include <string>

#include <tl/expected.hpp>

#include "common/availability_budget.h"
#include "decision/maintenance/pool_record.h"

namespace masticpass {

// What the maintenance decisions need of a pool's declared configuration.
struct pool_limits {
    availability_budget budget;
    int minimum_vms = 0;
};

// VMs that the agent sees failed, leaving, unreachable or ejected. They count in addition to the record's
// phases.
using unavailable_vms = std::set<vm_id>;

// Counts of unavailable VMs of one pool. VMs that the pool lacks below `minimum_vms` count in `total`, so
// that the removal of terminated VMs does not make room for further disruption.
class unavailable_vm_counts {
public:
    unavailable_vm_counts(const pool_record& record, const unavailable_vms& observed, int minimum_vms);

    // Adds a serving VM that is about to be disrupted.
    void add(const pool_vm& vm);

    int total() const { return total_; }
    int in_zone(const zone_name& zone) const;
    int in_rack(const rack_name& rack) const;

    // The limit that the counts exceed, in words; nullopt if the budget holds.
    std::optional<std::string> exceeded_limit(const availability_budget& budget) const;

    // True if the budget still holds after add(vm).
    bool has_room_for(const pool_vm& vm, const availability_budget& budget) const;

private:
    int total_ = 0;
    int highest_in_zone_ = 0;
    int highest_in_rack_ = 0;
    std::map<zone_name, int> zones_;
    std::map<rack_name, int> racks_;
};

// True for a VM that the pool's budget counts by its phase alone.
bool is_unavailable_by_phase(const pool_vm& vm);

// Refuses a budget that no wave can satisfy: a limit below one, or so few VMs below `minimum_vms` that the
// missing ones use up the budget. `vm_count` is the number of VMs of the pool, nullopt if unknown. The error
// gives the reason.
tl::expected<void, std::string> check_satisfiable(const pool_limits& limits, std::optional<int> vm_count);

}  // namespace masticpass

#endif
