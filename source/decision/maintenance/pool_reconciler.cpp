#include "decision/maintenance/pool_reconciler.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "common/invariant.h"

namespace masticpass {

namespace {

boot_observation to_boot_observation(const vm_observation& seen) {
    return {seen.boot, seen.role, seen.list_index};
}

bool is_serving(const vm_observation& seen) {
    return seen.state == vm_list_state::live && seen.last_probe_succeeded && !seen.failure_confirmed;
}

}  // namespace

fleet_index::fleet_index(const maintenance_view& view) {
    std::set<vm_id> listed;
    for (const auto& [name, stored] : view.pools) {
        for (const auto& [id, vm] : stored.record.vms) {
            listed.insert(id);
            if (vm.phase == vm_phase::moving_out) {
                moves_by_target[vm.other_pool].emplace_back(id, &stored);
            }
        }
        for (const auto& [id, departed] : stored.record.departures) {
            listed.insert(id);
        }
    }
    for (const auto& [id, seen] : view.vms) {
        if (is_serving(seen) && !listed.contains(id)) {
            unlisted_by_role[seen.role].push_back(id);
        }
    }
}

pool_reconciler::pool_reconciler(const maintenance_view& view, const fleet_index& index,
                                 const pool_name& pool, std::int64_t sequence)
    : view_(view),
      index_(index),
      pool_(pool),
      change_id_(absl::StrCat(view.self.value(), ".", sequence)),
      stored_(find_record(pool)) {
    const auto limits = view.limits.find(pool);
    limits_ = limits == view.limits.end() ? nullptr : &limits->second;
}

std::vector<maintenance_action> pool_reconciler::reconcile() {
    if (stored_ == nullptr) {
        return {};
    }
    record_ = stored_->record;
    observed_ = observed_unavailable(record_, view_.vms);
    for (const auto& [id, vm] : stored_->record.vms) {
        reconcile_vm(id, vm);
    }
    update_waves();
    update_moves();
    reserve_planned_vms();
    if (record_ != stored_->record) {
        record_.last_change = change_id_;
        record_.last_writer = view_.self;
        check_invariant(!takes_vm_out_of_service() || !is_over_budget(),
                        "a write that takes a VM out of service stays within the budget");
        actions_.insert(actions_.begin(), write_record{pool_, stored_->revision, record_});
    }
    return std::move(actions_);
}

void pool_reconciler::reconcile_vm(const vm_id& id, const pool_vm& vm) {
    const vm_observation* seen = find_observation(id);
    if (seen != nullptr && seen->state == vm_list_state::terminated) {
        apply(remove_terminated(record_, id));
        return;
    }
    switch (vm.phase) {
        case vm_phase::acting:
            reconcile_acting(id, vm, seen);
            return;
        case vm_phase::moving_out:
            reconcile_moving_out(id, vm);
            return;
        case vm_phase::incoming:
            reconcile_incoming(id, vm, seen);
            return;
        case vm_phase::serving:
        case vm_phase::failed:
        case vm_phase::reserved:
            break;
    }
    if (seen == nullptr) {
        if (vm.phase == vm_phase::reserved && (is_over_budget() || !is_reservation_needed(vm))) {
            apply(cancel_reservation(record_, id, vm.operation, view_.now));
        }
        return;
    }
    if (vm.phase == vm_phase::serving) {
        reconcile_serving(id, *seen);
    } else if (vm.phase == vm_phase::failed) {
        reconcile_failed(id, vm, *seen);
    } else {
        reconcile_reserved(id, vm, *seen);
    }
}

void pool_reconciler::reconcile_serving(const vm_id& id, const vm_observation& seen) {
    if (seen.failure_confirmed) {
        apply(mark_failed(record_, id, to_boot_observation(seen), view_.now));
    }
}

void pool_reconciler::reconcile_failed(const vm_id& id, const pool_vm& vm, const vm_observation& seen) {
    if (!is_serving(seen) || apply(mark_recovered(record_, id, to_boot_observation(seen), view_.now))) {
        return;
    }
    if (seen.boot == vm.old_boot && seen.list_index >= vm.old_boot_index) {
        apply(reserve_failed(record_, id, context(id)));
    }
}

void pool_reconciler::reconcile_reserved(const vm_id& id, const pool_vm& vm, const vm_observation& seen) {
    if (seen.failure_confirmed) {
        apply(mark_failed(record_, id, to_boot_observation(seen), view_.now));
        return;
    }
    const bool was_failed = !vm.old_boot.empty();
    if (!was_failed && (!is_reservation_needed(vm) || is_over_budget())) {
        apply(cancel_reservation(record_, id, vm.operation, view_.now));
        return;
    }
    if (limits_ != nullptr && seen.state == vm_list_state::live &&
        is_drained(view_.drain, vm.zone, id, vm.operation)) {
        const operation_context action{vm.operation, view_.self, view_.now};
        apply(start_reboot(record_, id, action, to_boot_observation(seen), *limits_, observed_));
    }
}

void pool_reconciler::reconcile_acting(const vm_id& id, const pool_vm& vm, const vm_observation* seen) {
    if (seen != nullptr && is_serving(*seen)) {
        if (apply(complete_reboot(record_, id, to_boot_observation(*seen), view_.now)) ||
            apply(renew_old_boot(record_, id, to_boot_observation(*seen)))) {
            return;
        }
    }
    // The reboot call is repeated until a newer boot identity is observed, because an earlier call may have
    // been lost. The platform rejects it if the VM has rebooted in the meantime.
    actions_.emplace_back(reboot_vm{id, vm.operation, vm.old_boot, pool_});
}

void pool_reconciler::reconcile_moving_out(const vm_id& id, const pool_vm& vm) {
    if (is_over_budget() || !view_.limits.contains(vm.other_pool)) {
        apply(cancel_move(record_, id, vm.operation, view_.now));
        return;
    }
    const stored_pool_record* target = find_record(vm.other_pool);
    if (target != nullptr && is_drained(view_.drain, vm.zone, id, vm.operation)) {
        apply(hand_over(record_, id, *target));
    }
}

void pool_reconciler::reconcile_incoming(const vm_id& id, const pool_vm& vm, const vm_observation* seen) {
    if (vm.other_pool.empty()) {
        if (seen != nullptr && is_serving(*seen)) {
            apply(complete_admission(record_, id, to_boot_observation(*seen), view_.now));
        }
        return;
    }
    const stored_pool_record* source = find_record(vm.other_pool);
    if (source == nullptr) {
        return;
    }
    if (seen != nullptr && seen->state == vm_list_state::live &&
        apply(
            start_joining(record_, id, source->record, to_boot_observation(*seen), view_.self, view_.now))) {
        return;
    }
    apply(remove_incoming(record_, id, *source));
}

void pool_reconciler::update_waves() {
    std::set<wave_name> declared;
    for (const declared_wave& wave : view_.waves) {
        declared.insert(wave.name);
        if (std::find(wave.pools.begin(), wave.pools.end(), pool_) == wave.pools.end()) {
            continue;
        }
        if (wave.state == wave_state::running && !record_.waves.contains(wave.name)) {
            record_ = start_wave(record_, wave.name, view_.now);
        }
        if (can_end_wave(record_, wave, view_.now)) {
            record_ = end_wave(record_, wave.name, view_.now);
        }
    }
    std::erase_if(record_.waves, [&](const auto& item) { return !declared.contains(item.first); });
}

void pool_reconciler::update_moves() {
    const auto departures = record_.departures;
    for (const auto& [id, departed] : departures) {
        if (const stored_pool_record* target = find_record(departed.target)) {
            apply(remove_departure(record_, id, *target));
        }
    }
    if (const auto found = index_.moves_by_target.find(pool_);
        found != index_.moves_by_target.end() && limits_ != nullptr) {
        for (const auto& [id, source] : found->second) {
            apply(add_incoming(record_, id, *source, view_.self, view_.now));
        }
    }
    if (const auto found = index_.unlisted_by_role.find(pool_);
        found != index_.unlisted_by_role.end() && limits_ != nullptr) {
        for (const vm_id& id : found->second) {
            const vm_observation& seen = view_.vms.at(id);
            apply(admit_vm(record_, id, seen.zone, seen.rack, context(id), view_.pools));
        }
    }
    for (const move_request& move : view_.moves) {
        if (move.source == pool_ && limits_ != nullptr && view_.limits.contains(move.target)) {
            apply(start_move(record_, move.vm, move.target, context(move.vm), *limits_, observed_));
        }
    }
}

void pool_reconciler::reserve_planned_vms() {
    if (limits_ == nullptr) {
        return;
    }
    unavailable_vms rebootable;
    for (const vm_id& id : observed_) {
        const vm_observation* seen = find_observation(id);
        if (seen != nullptr && is_serving(*seen)) {
            rebootable.insert(id);
        }
    }
    for (const planned_reservation& planned :
         plan_reservations(record_, *limits_, observed_, rebootable, view_.waves, view_.now)) {
        apply(reserve(record_, planned.vm, planned.wave, context(planned.vm), *limits_, observed_));
    }
}

const vm_observation* pool_reconciler::find_observation(const vm_id& id) const {
    const auto found = view_.vms.find(id);
    return found == view_.vms.end() ? nullptr : &found->second;
}

const stored_pool_record* pool_reconciler::find_record(const pool_name& pool) const {
    const auto found = view_.pools.find(pool);
    return found == view_.pools.end() ? nullptr : &found->second;
}

bool pool_reconciler::is_reservation_needed(const pool_vm& vm) const {
    if (!vm.old_boot.empty()) {
        return true;
    }
    if (limits_ == nullptr) {
        return false;
    }
    bool paused = false;
    for (const declared_wave& wave : view_.waves) {
        if (wave.name == vm.wave) {
            return wave.state == wave_state::running;
        }
        const bool includes_pool = std::find(wave.pools.begin(), wave.pools.end(), pool_) != wave.pools.end();
        paused = paused || (includes_pool && wave.state == wave_state::paused);
    }
    return vm.wave.empty() && !paused;
}

bool pool_reconciler::takes_vm_out_of_service() const {
    return std::any_of(record_.vms.begin(), record_.vms.end(), [this](const auto& entry) {
        const auto& [id, vm] = entry;
        const auto before = stored_->record.vms.find(id);
        const bool served = before != stored_->record.vms.end() && before->second.phase == vm_phase::serving;
        return served && (vm.phase == vm_phase::reserved || vm.phase == vm_phase::moving_out);
    });
}

bool pool_reconciler::is_over_budget() const {
    return limits_ != nullptr && unavailable_vm_counts(record_, observed_, limits_->minimum_vms)
                                     .exceeded_limit(limits_->budget)
                                     .has_value();
}

operation_context pool_reconciler::context(const vm_id& id) const {
    return {operation_id(absl::StrCat(change_id_.value(), ":", id.value())), view_.self, view_.now};
}

bool pool_reconciler::apply(transition_result result) {
    if (!result) {
        return false;
    }
    record_ = *std::move(result);
    return true;
}

}  // namespace masticpass
