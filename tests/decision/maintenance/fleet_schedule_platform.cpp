#include <utility>

#include "fleet_schedule.h"

namespace masticpass {

namespace {

boot_id boot_name(int number) {
    return boot_id("b" + std::to_string(number));
}

}  // namespace

void fleet_schedule::advance() {
    ++step_;
    now_ += absl::Seconds(1);
    for (auto& [id, vm] : vms_) {
        if (vm.state == power_state::down && vm.returns_at >= 0 && vm.returns_at <= step_) {
            vm.state = power_state::up;
            vm.boot += vm.keeps_boot ? 0 : 1;
            vm.leaving = false;
            vm.keeps_boot = false;
            list_changed_ = true;
        }
    }
    list_vms();
}

void fleet_schedule::list_vms() {
    if (!list_changed_) {
        vm_list_history_.push_back(vm_list_history_.back());
        return;
    }
    auto list = std::make_shared<list_map>();
    for (const auto& [id, vm] : vms_) {
        vm_observation& seen = (*list)[id];
        seen.zone = vm.zone;
        seen.rack = vm.rack;
        seen.boot = boot_name(vm.boot);
        seen.role = vm.role;
        seen.list_index = step_;
        seen.state = vm.state == power_state::terminated ? vm_list_state::terminated
                     : vm.leaving                        ? vm_list_state::leaving
                                                         : vm_list_state::live;
    }
    vm_list_history_.push_back(std::move(list));
    list_changed_ = false;
}

void fleet_schedule::write(const write_record& action, const std::set<vm_id>& down) {
    const stored_pool_record& present = store_history_.back()->at(action.pool);
    if (store_down_ ||
        (present.revision != action.expected_revision && guard_ != disabled_guard::store_comparison)) {
        return;
    }
    const auto parsed = parse_pool_record(serialize(action.record));
    if (!parsed) {
        report_violation("a written record cannot be parsed: " + parsed.error());
        return;
    }
    const pool_record before = present.record;
    auto records = std::make_shared<record_map>(*store_history_.back());
    (*records)[action.pool] = {++revision_, *parsed};
    store_history_.push_back(std::move(records));
    ++writes_;
    check_write(before, *parsed, down);
    check_owners();
}

void fleet_schedule::reboot(const reboot_vm& action) {
    simulated_vm& vm = vms_.at(action.vm);
    const bool same_boot = boot_name(vm.boot) == action.expected_boot;
    if (vm.state != power_state::up || (!same_boot && guard_ != disabled_guard::reboot_condition)) {
        return;
    }
    const auto& records = *store_history_.back();
    const auto& listed = records.at(action.pool).record.vms;
    const auto entry = listed.find(action.vm);
    if (entry == listed.end() || entry->second.phase != vm_phase::acting) {
        report_violation("VM " + action.vm.value() + " is rebooted although pool " + action.pool.value() +
                         " does not list it as acting");
        return;
    }
    for (const entry_vm& sender : entries_) {
        if (sender.in_flight.contains(action.vm)) {
            report_violation("the reboot of VM " + action.vm.value() + " interrupts a request");
        }
    }
    ++reboots_;
    vm.state = power_state::down;
    vm.leaving = true;
    vm.down_since = step_;
    vm.role = action.pool;
    vm.returns_at = random_percent(4) ? -1 : step_ + 3 + random_below(10);
    list_changed_ = true;
    std::set<vm_id> acting_and_down;
    for (const auto& [id, other] : listed) {
        if (other.phase == vm_phase::acting && !other.joining && vms_.at(id).state == power_state::down &&
            vms_.at(id).leaving) {
            acting_and_down.insert(id);
        }
    }
    // The reboot of a VM that had failed before belongs to no wave and is not limited by the budget, as the
    // VM is already out of service. The reboots of due VMs belong to no wave either; check_write() covers
    // them.
    if (!entry->second.joining && !entry->second.wave.empty()) {
        check_counts(records.at(action.pool).record, acting_and_down, 0,
                     "at the reboot of " + action.vm.value());
    }
}

}  // namespace masticpass
