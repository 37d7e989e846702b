#include "agent/fleet_observer.h"

#include <utility>

namespace masticpass {

namespace {

// The probes of all entry VMs of a zone must have failed for this long before a VM counts as failed.
constexpr absl::Duration failure_confirmation_period = absl::Seconds(10);

vm_list_state to_list_state(vm_state state) {
    switch (state) {
        case vm_state::live:
            return vm_list_state::live;
        case vm_state::leaving:
            return vm_list_state::leaving;
        case vm_state::terminated:
            return vm_list_state::terminated;
    }
    return vm_list_state::leaving;
}

vm_observation to_observation(const listed_vm& listed, std::int64_t index) {
    vm_observation result;
    result.zone = listed.zone;
    result.rack = listed.rack;
    result.boot = listed.boot;
    result.role = listed.pool;
    result.state = to_list_state(listed.state);
    result.list_index = index;
    return result;
}

}  // namespace

std::map<vm_id, vm_observation> fleet_observer::vms() {
    std::map<vm_id, vm_observation> result;
    const auto listing = sources_.listing();
    for (const listed_vm& listed : listing->vms) {
        result.emplace(listed.vm, to_observation(listed, listing->index));
    }
    std::map<zone_name, zone_reports> zones;
    for (const heartbeat& beat : sources_.heartbeats()) {
        zone_reports& zone = zones[beat.zone];
        ++zone.entry_count;
        for (const server_observation& reported : beat.observations) {
            const auto found = result.find(reported.vm);
            if (found == result.end() || found->second.boot != reported.boot) {
                continue;
            }
            if (reported.condition == server_condition::unreachable) {
                ++zone.unreachable_reports[reported.vm];
            } else if (reported.condition == server_condition::ejected) {
                found->second.ejected = true;
            } else if (found->second.state == vm_list_state::live) {
                found->second.state = vm_list_state::leaving;
            }
        }
    }
    for (auto& [vm, observation] : result) {
        const zone_reports& zone = zones[observation.zone];
        const auto found = zone.unreachable_reports.find(vm);
        const int reports = found == zone.unreachable_reports.end() ? 0 : found->second;
        observation.last_probe_succeeded = zone.entry_count > 0 && reports == 0;
        update_failure_confirmation(vm, zone.entry_count > 0 && reports == zone.entry_count, observation);
    }
    return result;
}

void fleet_observer::update_failure_confirmation(const vm_id& vm, bool unreachable_from_all,
                                                 vm_observation& observation) {
    if (!unreachable_from_all) {
        unreachable_since_.erase(vm);
        return;
    }
    const absl::Time now = clock_.now();
    const auto [since, added] = unreachable_since_.emplace(vm, now);
    observation.failure_confirmed = now - since->second >= failure_confirmation_period;
}

drain_status fleet_observer::drains() const {
    drain_status result;
    for (const auto& [zone, record] : fleet_.allotments()) {
        std::set<incarnation_id>& senders = result.senders[zone];
        for (const allotment_member& member : record.members) {
            senders.insert(member.incarnation);
            if (sources_.is_terminated(member)) {
                result.proved_terminated.insert(member.incarnation);
            }
        }
    }
    for (const heartbeat& beat : sources_.heartbeats()) {
        for (const drain_acknowledgement& acknowledged : beat.drained) {
            result.acknowledged[{acknowledged.vm, acknowledged.operation}].insert(beat.incarnation);
        }
    }
    return result;
}

}  // namespace masticpass
