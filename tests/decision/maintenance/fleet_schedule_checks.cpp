#include <algorithm>

#include "fleet_schedule.h"

namespace masticpass {

namespace {

int boot_number(const boot_id& boot) {
    return boot.empty() ? 0 : std::stoi(boot.value().substr(1));
}

bool is_in_size(const pool_vm& vm) {
    return vm.phase != vm_phase::incoming && !vm.joining;
}

}  // namespace

void fleet_schedule::check_write(const pool_record& before, const pool_record& after,
                                 const std::set<vm_id>& down) {
    std::set<vm_id> unavailable;
    bool begins = false;
    for (const auto& [id, vm] : after.vms) {
        if (is_in_size(vm) && (vm.phase != vm_phase::serving || down.contains(id))) {
            unavailable.insert(id);
        }
        const auto old = before.vms.find(id);
        if (old == before.vms.end()) {
            continue;
        }
        const vm_phase from = old->second.phase;
        begins = begins ||
                 (from == vm_phase::reserved && vm.phase == vm_phase::acting && old->second.old_boot.empty());
        if (from == vm_phase::acting && vm.phase == vm_phase::serving &&
            (vms_.at(id).boot <= boot_number(old->second.old_boot) || vms_.at(id).role != after.pool)) {
            report_violation("VM " + id.value() + " returned to service without a newer boot identity");
        }
        if (from == vm_phase::failed && vm.phase == vm_phase::serving &&
            vms_.at(id).boot <= boot_number(old->second.old_boot)) {
            report_violation("VM " + id.value() + " recovered without a newer boot identity");
        }
        moves_ += from == vm_phase::incoming && vm.phase == vm_phase::acting ? 1 : 0;
    }
    if (begins) {
        const int size = static_cast<int>(std::count_if(
            after.vms.begin(), after.vms.end(), [](const auto& item) { return is_in_size(item.second); }));
        check_counts(after, unavailable, std::max(0, limits_.at(after.pool).minimum_vms - size),
                     "at the start of a reboot");
    }
}

void fleet_schedule::check_counts(const pool_record& record, const std::set<vm_id>& unavailable, int missing,
                                  const std::string& event) {
    const availability_budget& budget = limits_.at(record.pool).budget;
    std::map<zone_name, int> zones;
    std::map<rack_name, int> racks;
    for (const vm_id& id : unavailable) {
        ++zones[record.vms.at(id).zone];
        ++racks[record.vms.at(id).rack];
    }
    bool holds = static_cast<int>(unavailable.size()) + missing <= budget.max_unavailable &&
                 static_cast<int>(zones.size()) <= budget.max_zones_unavailable.value_or(100) &&
                 static_cast<int>(racks.size()) <= budget.max_racks_unavailable.value_or(100);
    for (const auto& [zone, count] : zones) {
        holds = holds && count <= budget.max_unavailable_per_zone.value_or(100);
    }
    for (const auto& [rack, count] : racks) {
        holds = holds && count <= budget.max_unavailable_per_rack.value_or(100);
    }
    if (!holds) {
        report_violation("budget of pool " + record.pool.value() + " exceeded " + event);
    }
}

void fleet_schedule::check_owners() {
    const record_map& records = *store_history_.back();
    std::map<vm_id, int> owners;
    for (const auto& [pool, stored] : records) {
        for (const auto& [id, vm] : stored.record.vms) {
            bool owns = vm.phase != vm_phase::incoming || vm.other_pool.empty();
            if (!owns) {
                const auto& departures = records.at(vm.other_pool).record.departures;
                const auto departure = departures.find(id);
                owns = departure != departures.end() && departure->second.operation == vm.operation;
            }
            owners[id] += owns ? 1 : 0;
        }
    }
    for (const auto& [id, vm] : vms_) {
        const bool replacement = id.value().front() == 'r';
        if (owners[id] > 1 || (owners[id] == 0 && !replacement && vm.state != power_state::terminated)) {
            report_violation("VM " + id.value() + " has " + std::to_string(owners[id]) + " owners");
        }
    }
}

void fleet_schedule::report_violation(const std::string& text) {
    if (violation_.empty()) {
        violation_ = "step " + std::to_string(step_) + ": " + text;
    }
}

}  // namespace masticpass
