#ifndef MASTICPASS_AGENT_PLACEMENT_AGENT_H
#define MASTICPASS_AGENT_PLACEMENT_AGENT_H

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "agent/fleet_state.h"
#include "agent/maintenance_agent.h"
#include "agent/periodic_thread.h"
#include "common/clock.h"
#include "decision/placement/demand_tracker.h"
#include "decision/placement/plan_placement.h"
#include "peer/heartbeat.h"
#include "telemetry/metrics.h"

namespace masticpass {

// Samples the demand that all entry VMs report, plans the placement of VMs in pools, and starts the planned
// moves if this entry VM is the owner of placement. Every entry VM plans, so that a new owner knows for how
// long each pool has had a shortage or a surplus. Ownership: owns one thread; borrows everything passed in.
// Thread safety: construct and destroy on one thread.
class placement_agent {
public:
    struct sources {
        // The latest heartbeats of the live entry VMs, including this one's own.
        std::function<std::vector<heartbeat>()> heartbeats;
        std::function<std::map<vm_id, vm_observation>()> vms;
        // Whether this entry VM is the owner of placement, which starts the moves.
        std::function<bool()> is_owner;
    };

    placement_agent(const fleet_state& fleet, maintenance_agent& maintenance, const clock& time_source,
                    metrics_registry& metrics, sources agent_sources);

private:
    void sample();
    void plan(absl::Time now);
    // Returns the sustained demand of a pool's services in slots; nullopt if a service had no reliable
    // estimate yet.
    std::optional<double> sustained_slots(const fleet_configuration& configuration, const pool_name& pool,
                                          absl::Time now);
    placement_pool make_placement_pool(const pool_name& name, const pool_section& section,
                                       const stored_pool_record& stored,
                                       const std::map<vm_id, vm_observation>& vms) const;

    const fleet_state& fleet_;
    maintenance_agent& maintenance_;
    const clock& clock_;
    metrics_registry& metrics_;
    const sources sources_;
    // The following members are used only by the agent's thread.
    demand_tracker demand_;
    placement_planner planner_;
    // The demand of each service that the last plan assumed.
    std::map<service_name, double> planned_slots_;
    std::set<pool_name> planned_pools_;
    absl::Time next_plan_ = absl::InfinitePast();
    periodic_thread thread_;
};

}  // namespace masticpass

#endif
