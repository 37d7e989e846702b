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

// What the observer reads; each function may be called from any thread.
struct fleet_sources {
    std::function<std::shared_ptr<const vm_listing>()> listing;
    // The heartbeats of the entry VMs heard lately, this one's own included.
    std::function<std::vector<heartbeat>()> heartbeats;
    std::function<bool(const allotment_member&)> is_terminated;
};

// Combines the VM list, the heartbeats and the allotments into what the maintenance decisions need.
// Ownership: borrows the fleet state and the clock.
// Thread safety: none; the maintenance agent serializes calls.
class fleet_observer {
public:
    fleet_observer(const fleet_state& fleet, const clock& time_source, fleet_sources sources)
        : fleet_(fleet), clock_(time_source), sources_(std::move(sources)) {}

    // Each VM of the list with what its zone's entry VMs report. A VM whose zone has no entry VM that was
    // heard lately counts as not answering.
    std::map<vm_id, vm_observation> vms();

    // Who may send to the VMs of each zone, and which operations they have acknowledged as drained.
    drain_status drains() const;

private:
    struct zone_reports {
        int entry_count = 0;
        // Number of entry VMs that report each VM as unreachable.
        std::map<vm_id, int> unreachable_reports;
    };

    void update_failure_confirmation(const vm_id& vm, bool unreachable_from_all, vm_observation& observation);

    const fleet_state& fleet_;
    const clock& clock_;
    const fleet_sources sources_;
    std::map<vm_id, absl::Time> unreachable_since_;
};

}  // namespace masticpass

#endif
