#include "decision/maintenance/move_transition.h"

#include <utility>

#include "decision/maintenance/transition_support.h"

namespace masticpass {

namespace {

// The VM's entry if it is in the given phase for the given operation; null otherwise.
const pool_vm* find_entry(const pool_record& record, const vm_id& vm, vm_phase phase,
                          const operation_id& operation) {
    const auto found = record.vms.find(vm);
    if (found == record.vms.end() || found->second.phase != phase || found->second.operation != operation) {
        return nullptr;
    }
    return &found->second;
}

bool has_departed(const pool_record& source, const vm_id& vm, const pool_name& target,
                  const operation_id& operation) {
    const auto found = source.departures.find(vm);
    return found != source.departures.end() && found->second.target == target &&
           found->second.operation == operation;
}

}  // namespace

transition_result start_move(const pool_record& source, const vm_id& vm, const pool_name& target,
                             const operation_context& context, const pool_limits& limits,
                             const unavailable_vms& observed) {
    if (auto error = check_phase(source, vm, {vm_phase::serving})) {
        return tl::unexpected(*std::move(error));
    }
    if (target == source.pool) {
        return refuse(transition_error_kind::already_listed, vm, "is already in the target pool");
    }
    pool_record changed = source;
    pool_vm& entry = changed.vms.at(vm);
    set_operation(entry, vm_phase::moving_out, context);
    entry.other_pool = target;
    int staying = 0;
    for (const auto& [id, other] : changed.vms) {
        staying += counts_in_size(other) && other.phase != vm_phase::moving_out ? 1 : 0;
    }
    if (staying < limits.minimum_vms) {
        return refuse(transition_error_kind::below_minimum, vm,
                      "the move would leave the pool with fewer VMs than minimum_vms");
    }
    if (auto error = check_budget(changed, vm, limits, observed)) {
        return tl::unexpected(*std::move(error));
    }
    return changed;
}

transition_result cancel_move(const pool_record& source, const vm_id& vm, const operation_id& operation,
                              absl::Time now) {
    return change_vm(source, vm, {vm_phase::moving_out}, [&](pool_vm& entry) -> change_result {
        if (entry.operation != operation) {
            return refuse(transition_error_kind::wrong_operation, vm, "is moved by another operation");
        }
        set_serving(entry, now);
        return {};
    });
}

transition_result add_incoming(const pool_record& target, const vm_id& vm, const stored_pool_record& source,
                               const incarnation_id& actor, absl::Time now) {
    if (auto error = check_phase(source.record, vm, {vm_phase::moving_out})) {
        return tl::unexpected(*std::move(error));
    }
    const pool_vm& moving = source.record.vms.at(vm);
    if (moving.other_pool != target.pool) {
        return refuse(transition_error_kind::wrong_operation, vm, "is moving to another pool");
    }
    if (target.vms.contains(vm)) {
        return refuse(transition_error_kind::already_listed, vm,
                      "is already in the record of the target pool");
    }
    pool_record changed = target;
    pool_vm& entry = changed.vms[vm];
    entry.zone = moving.zone;
    entry.rack = moving.rack;
    entry.phase = vm_phase::incoming;
    entry.since = now;
    entry.maintained_at = moving.maintained_at;
    entry.operation = moving.operation;
    entry.actor = actor;
    entry.other_pool = source.record.pool;
    entry.source_revision = source.revision;
    return changed;
}

transition_result hand_over(const pool_record& source, const vm_id& vm, const stored_pool_record& target) {
    if (auto error = check_phase(source, vm, {vm_phase::moving_out})) {
        return tl::unexpected(*std::move(error));
    }
    const pool_vm& moving = source.vms.at(vm);
    const pool_vm* incoming = find_entry(target.record, vm, vm_phase::incoming, moving.operation);
    // The `incoming` entry of an earlier, cancelled move may be removed at any time, which would leave the VM
    // without an owner.
    if (incoming == nullptr || target.record.pool != moving.other_pool) {
        return refuse(transition_error_kind::wrong_operation, vm,
                      "the target has no incoming entry for this move");
    }
    pool_record changed = source;
    changed.departures[vm] = departure{moving.other_pool, moving.operation, target.revision};
    changed.vms.erase(vm);
    return changed;
}

transition_result start_joining(const pool_record& target, const vm_id& vm, const pool_record& source,
                                const boot_observation& current, const incarnation_id& actor,
                                absl::Time now) {
    return change_vm(target, vm, {vm_phase::incoming}, [&](pool_vm& entry) -> change_result {
        // The absence of the VM from the source's record proves nothing: a later move may have handed the VM
        // over to a third pool.
        if (source.pool != entry.other_pool || !has_departed(source, vm, target.pool, entry.operation)) {
            return refuse(transition_error_kind::not_owner, vm,
                          "the source has not handed the VM over in this move");
        }
        if (current.boot.empty()) {
            return refuse(transition_error_kind::stale_observation, vm, "the boot identity is unknown");
        }
        set_operation(entry, vm_phase::acting, {entry.operation, actor, now});
        entry.joining = true;
        set_old_boot(entry, current);
        return {};
    });
}

transition_result remove_incoming(const pool_record& target, const vm_id& vm,
                                  const stored_pool_record& source) {
    if (auto error = check_phase(target, vm, {vm_phase::incoming})) {
        return tl::unexpected(*std::move(error));
    }
    const pool_vm& incoming = target.vms.at(vm);
    if (source.record.pool != incoming.other_pool) {
        return refuse(transition_error_kind::wrong_operation, vm, "comes from another source pool");
    }
    if (source.revision < incoming.source_revision) {
        return refuse(transition_error_kind::stale_observation, vm,
                      "the source record is older than the incoming entry");
    }
    if (find_entry(source.record, vm, vm_phase::moving_out, incoming.operation) != nullptr ||
        has_departed(source.record, vm, target.pool, incoming.operation)) {
        return refuse(transition_error_kind::wrong_phase, vm, "the move is still in progress");
    }
    pool_record changed = target;
    changed.vms.erase(vm);
    return changed;
}

transition_result remove_departure(const pool_record& source, const vm_id& vm,
                                   const stored_pool_record& target) {
    const auto found = source.departures.find(vm);
    if (found == source.departures.end()) {
        return refuse(transition_error_kind::unknown_vm, vm, "has no departure in this record");
    }
    const departure& departed = found->second;
    if (target.record.pool != departed.target || target.revision < departed.target_revision) {
        return refuse(transition_error_kind::stale_observation, vm,
                      "the target record is older than the departure");
    }
    if (find_entry(target.record, vm, vm_phase::incoming, departed.operation) != nullptr) {
        return refuse(transition_error_kind::wrong_phase, vm, "the target has not started to reboot the VM");
    }
    pool_record changed = source;
    changed.departures.erase(vm);
    return changed;
}

transition_result admit_vm(const pool_record& record, const vm_id& vm, const zone_name& zone,
                           const rack_name& rack, const operation_context& context,
                           const std::map<pool_name, stored_pool_record>& all) {
    for (const auto& [name, other] : all) {
        if (other.record.vms.contains(vm) || other.record.departures.contains(vm)) {
            return refuse(transition_error_kind::already_listed, vm,
                          "is already in the record of pool " + name.value());
        }
    }
    pool_record changed = record;
    pool_vm& entry = changed.vms[vm];
    entry.zone = zone;
    entry.rack = rack;
    entry.maintained_at = maintenance_time(record, context.now);
    set_operation(entry, vm_phase::incoming, context);
    return changed;
}

transition_result complete_admission(const pool_record& record, const vm_id& vm, const boot_observation& seen,
                                     absl::Time now) {
    return change_vm(record, vm, {vm_phase::incoming}, [&](pool_vm& entry) -> change_result {
        if (!entry.other_pool.empty()) {
            return refuse(transition_error_kind::wrong_phase, vm, "comes from another source pool");
        }
        if (seen.boot.empty() || seen.role != record.pool) {
            return refuse(transition_error_kind::stale_observation, vm,
                          "does not serve in the role of this pool");
        }
        set_serving(entry, now);
        return {};
    });
}

std::optional<pool_name> owner_of(const vm_id& vm, const std::map<pool_name, stored_pool_record>& all) {
    for (const auto& [name, stored] : all) {
        const auto found = stored.record.vms.find(vm);
        if (found == stored.record.vms.end()) {
            continue;
        }
        const pool_vm& entry = found->second;
        if (entry.phase != vm_phase::incoming || entry.other_pool.empty()) {
            return name;
        }
        const auto source = all.find(entry.other_pool);
        if (source != all.end() && has_departed(source->second.record, vm, name, entry.operation)) {
            return name;
        }
    }
    return std::nullopt;
}

}  // namespace masticpass
