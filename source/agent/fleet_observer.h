#ifndef MASTICPASS_AGENT_FLEET_OBSERVER_H
#define MASTICPASS_AGENT_FLEET_OBSERVER_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agent/fleet_state.h"
#include "common/clock.h"
#include "decision/maintenance/action_planner.h"
#include "peer/heartbeat.h"
#include "vm/vm_list.h"

namespace masticpass {

// The inputs of the observer. Each function may be called from any thread.
struct fleet_sources {
    std::function<std::shared_ptr<const vm_listing>()> listing;
    // The latest heartbeats of the live entry VMs, including this one's own.
    std::function<std::vector<heartbeat>()> heartbeats;
    // Whether an incarnation is proved terminated.
    std::function<bool(const allotment_member&)> is_terminated;
};

// Combines the VM list, the heartbeats and the allotments into the observations that the maintenance
// decisions use.
// Ownership: borrows the fleet state and the clock.
// Thread safety: none; the owner must serialize calls.
class fleet_observer {
public:
    fleet_observer(const fleet_state& fleet, const clock& time_source, fleet_sources sources)
        : fleet_(fleet), clock_(time_source), sources_(std::move(sources)) {}

    // Returns an observation of each VM of the VM list, from the list and the reports of the entry VMs of its
    // zone. Without a live entry VM in the zone, the last probe of a VM counts as failed. Must be called
    // regularly, since a failure is confirmed only after it has been observed for some time.
    std::map<vm_id, vm_observation> vms();

    // Returns which incarnations may send requests to the VMs of each zone, and which drains each incarnation
    // has acknowledged.
    drain_status drains() const;

private:
    // The reports of the live entry VMs of one zone.
    struct zone_reports {
        int entry_count = 0;
        // Number of entry VMs that report each VM as unreachable.
        std::map<vm_id, int> unreachable_reports;
    };

    // Confirms a failure once all entry VMs of the zone have reported the VM as unreachable for long enough.
    void update_failure_confirmation(const vm_id& vm, bool unreachable_from_all, vm_observation& observation);

    const fleet_state& fleet_;
    const clock& clock_;
    const fleet_sources sources_;
    // When all entry VMs of the zone began to report the VM as unreachable.
    std::map<vm_id, absl::Time> unreachable_since_;
};

}  // namespace masticpass

#endif
