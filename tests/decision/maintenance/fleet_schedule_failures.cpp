#include <iterator>

#include "decision/maintenance/move_transition.h"
#include "fleet_schedule.h"

namespace masticpass {

void fleet_schedule::change_operations() {
    declared_wave& wave = waves_.at(static_cast<std::size_t>(random_below(static_cast<int>(waves_.size()))));
    if (random_percent(5)) {
        wave.state = wave_state::cancelled;
    } else if (wave.state != wave_state::cancelled) {
        wave.state = random_percent(70) ? wave_state::running : wave_state::paused;
    }
    move_requests_.clear();
    const auto vm = std::next(vms_.begin(), random_below(static_cast<int>(vms_.size())));
    const auto target = std::next(limits_.begin(), random_below(static_cast<int>(limits_.size())));
    for (const auto& [source, limits] : limits_) {
        move_requests_.push_back({vm->first, source, target->first});
    }
}

void fleet_schedule::inject_failure() {
    if (random_percent(25)) {
        store_down_ = !store_down_;
        return;
    }
    entry_vm& entry = entries_.at(static_cast<std::size_t>(random_below(static_cast<int>(entries_.size()))));
    if (random_percent(20)) {
        entry.paused_until = step_ + random_below(80);
        return;
    }
    if (random_percent(15)) {
        replace_entry(entry);
        return;
    }
    const auto item = std::next(vms_.begin(), random_below(static_cast<int>(vms_.size())));
    simulated_vm& vm = item->second;
    if (vm.state == power_state::up) {
        vm.state = power_state::down;
        vm.down_since = step_;
        vm.keeps_boot = random_percent(20);
        vm.returns_at = random_percent(10) ? -1 : step_ + 2 + random_below(30);
        for (entry_vm& other : entries_) {
            other.in_flight.erase(item->first);
        }
    } else if (vm.state == power_state::down && random_percent(10)) {
        replace_terminated(item->first, vm);
    }
}

void fleet_schedule::replace_entry(entry_vm& entry) {
    terminated_incarnations_.insert(entry.incarnation);
    entry.incarnation = incarnation_id("i" + std::to_string(++incarnation_count_));
    entry.sequence = 1;
    entry.paused_until = 0;
    entry.in_flight.clear();
    entry.pending.clear();
    // A new entry VM joins the allotment before it reads the pool records.
    senders_[entry.zone].insert(entry.incarnation);
    entry.known = store_down_ ? record_map() : *store_history_.back();
}

void fleet_schedule::replace_terminated(const vm_id& id, simulated_vm& vm) {
    vm.state = power_state::terminated;
    list_changed_ = true;
    simulated_vm fresh;
    fresh.zone = vm.zone;
    fresh.rack = vm.rack;
    // The replacement serves the pool that owned the VM.
    fresh.role = owner_of(id, *store_history_.back()).value_or(vm.role);
    fresh.state = power_state::down;
    fresh.down_since = step_;
    fresh.returns_at = step_ + 5;
    vms_[vm_id("r" + std::to_string(++replacement_count_))] = fresh;
}

}  // namespace masticpass
