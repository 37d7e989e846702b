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

// The part of a pool's declared configuration that limits maintenance.
struct pool_limits {
    availability_budget budget;
    int minimum_vms = 0;
};

// VMs that are observed as failed, leaving, unreachable or ejected. They count as unavailable in addition to
// the VMs whose phase in the record makes them unavailable.
using unavailable_vms = std::set<vm_id>;

// Counts the unavailable VMs of one pool, in total and per zone and rack. VMs that are missing below
// `minimum_vms` are included in the total, so that removing terminated VMs from the record does not permit
// further disruption. Thread safety: none, the caller serializes access.
class unavailable_vm_counts {
public:
    unavailable_vm_counts(const pool_record& record, const unavailable_vms& observed, int minimum_vms);

    // Counts a serving VM that is about to be taken out of service.
    void add(const pool_vm& vm);

    int total() const { return total_; }
    int in_zone(const zone_name& zone) const;
    int in_rack(const rack_name& rack) const;

    // Describes the first limit that the counts exceed; nullopt if they are within the budget.
    std::optional<std::string> exceeded_limit(const availability_budget& budget) const;

    // True if the counts are still within the budget after add(vm).
    bool has_room_for(const pool_vm& vm, const availability_budget& budget) const;

private:
    int total_ = 0;
    int highest_in_zone_ = 0;
    int highest_in_rack_ = 0;
    std::map<zone_name, int> zones_;
    std::map<rack_name, int> racks_;
};

// True if the phase alone makes the VM count as unavailable, regardless of observations.
bool is_unavailable_by_phase(const pool_vm& vm);

// Rejects a budget under which no VM could ever be maintained: a limit below one, or so few VMs that those
// missing below `minimum_vms` use up the budget. `vm_count` is the number of VMs of the pool, nullopt if
// unknown. The error states the reason.
tl::expected<void, std::string> check_satisfiable(const pool_limits& limits, std::optional<int> vm_count);

}  // namespace masticpass

#endif
