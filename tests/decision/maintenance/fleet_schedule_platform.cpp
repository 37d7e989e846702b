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
        if (vm.state == power::down && vm.returns_at >= 0 && vm.returns_at <= step_) {
            vm.state = power::up;
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
        lists_.push_back(lists_.back());
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
        seen.state = vm.state == power::terminated ? vm_list_state::terminated
                     : vm.leaving                  ? vm_list_state::leaving
                                                   : vm_list_state::live;
    }
    lists_.push_back(std::move(list));
    list_changed_ = false;
}

void fleet_schedule::write(const write_record& action, const std::set<vm_id>& down) {
    const stored_pool_record& present = stores_.back()->at(action.pool);
    if (store_down_ ||
        (present.revision != action.expected_revision && guard_ != removed_guard::store_comparison)) {
        return;
    }
    const auto parsed = parse_pool_record(serialize(action.record));
    if (!parsed) {
        violate("a record does not parse: " + parsed.error());
        return;
    }
    const pool_record before = present.record;
    auto records = std::make_shared<record_map>(*stores_.back());
    (*records)[action.pool] = {++revision_, *parsed};
    stores_.push_back(std::move(records));
    ++writes_;
    check_write(before, *parsed, down);
    check_owners();
}

void fleet_schedule::reboot(const reboot_vm& action) {
    true_vm& vm = vms_.at(action.vm);
    const bool same_boot = boot_name(vm.boot) == action.expected_boot;
    if (vm.state != power::up || (!same_boot && guard_ != removed_guard::reboot_condition)) {
        return;
    }
    const auto& records = *stores_.back();
    const auto& listed = records.at(action.pool).record.vms;
    const auto entry = listed.find(action.vm);
    if (entry == listed.end() || entry->second.phase != vm_phase::acting) {
        violate("VM " + action.vm.value() + " reboots although pool " + action.pool.value() +
                " does not act");
        return;
    }
    for (const entry_vm& sender : entries_) {
        if (sender.in_flight.contains(action.vm)) {
            violate("the reboot of VM " + action.vm.value() + " interrupts a request");
        }
    }
    ++reboots_;
    vm.state = power::down;
    vm.leaving = true;
    vm.down_since = step_;
    vm.role = action.pool;
    vm.returns_at = chance(4) ? -1 : step_ + 3 + pick(10);
    list_changed_ = true;
    std::set<vm_id> acting_and_down;
    for (const auto& [id, other] : listed) {
        if (other.phase == vm_phase::acting && !other.joining && vms_.at(id).state == power::down &&
            vms_.at(id).leaving) {
            acting_and_down.insert(id);
        }
    }
    // A VM that had failed before is out of service anyway, so the budget does not bound its restart, which
    // belongs to no wave. VMs that are merely due belong to none either; check_write() covers them.
    if (!entry->second.joining && !entry->second.wave.empty()) {
        check_counts(records.at(action.pool).record, acting_and_down, 0,
                     "at the reboot of " + action.vm.value());
    }
}

}  // namespace masticpass
