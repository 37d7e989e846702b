#include "decision/maintenance/transition.h"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "decision/maintenance/transition_support.h"

namespace masticpass {

tl::unexpected<transition_error> refuse(transition_error_kind kind, const vm_id& vm,
                                        const std::string& message) {
    return tl::unexpected(transition_error{kind, absl::StrCat("VM ", vm.value(), ": ", message)});
}

std::optional<transition_error> check_phase(const pool_record& record, const vm_id& vm,
                                            std::initializer_list<vm_phase> phases) {
    const auto found = record.vms.find(vm);
    if (found == record.vms.end()) {
        return refuse(transition_error_kind::unknown_vm, vm, "not in the pool record").value();
    }
    if (std::find(phases.begin(), phases.end(), found->second.phase) == phases.end()) {
        return refuse(transition_error_kind::wrong_phase, vm,
                      "in phase " + std::string(to_string(found->second.phase)))
            .value();
    }
    return std::nullopt;
}

std::optional<transition_error> check_budget(const pool_record& record, const vm_id& vm,
                                             const pool_limits& limits, const unavailable_vms& observed) {
    const unavailability counts(record, observed, limits.minimum_vms);
    if (const auto exceeded = counts.exceeded(limits.budget)) {
        return refuse(transition_error_kind::budget_exceeded, vm, *exceeded).value();
    }
    return std::nullopt;
}

bool is_newer_boot(const pool_vm& vm, const boot_evidence& seen) {
    return !seen.boot.empty() && seen.boot != vm.old_boot && seen.list_index > vm.old_boot_index;
}

void set_serving(pool_vm& vm, absl::Time now) {
    pool_vm serving;
    serving.zone = vm.zone;
    serving.rack = vm.rack;
    serving.since = now;
    serving.maintained_at = vm.maintained_at;
    vm = std::move(serving);
}

absl::Time maintenance_time(const pool_record& record, absl::Time now) {
    for (const auto& [name, wave] : record.waves) {
        now = std::max(now, wave.started_at);
    }
    return now;
}

transition_result reserve(const pool_record& record, const vm_id& vm, const wave_name& wave,
                          const operation_context& context, const pool_limits& limits,
                          const unavailable_vms& observed) {
    if (auto error = check_phase(record, vm, {vm_phase::serving})) {
        return tl::unexpected(*std::move(error));
    }
    pool_record changed = record;
    pool_vm& entry = changed.vms.at(vm);
    entry.phase = vm_phase::reserved;
    entry.since = context.now;
    entry.operation = context.operation;
    entry.actor = context.actor;
    entry.wave = wave;
    if (auto error = check_budget(changed, vm, limits, observed)) {
        return tl::unexpected(*std::move(error));
    }
    return changed;
}

transition_result begin_action(const pool_record& record, const vm_id& vm, const operation_context& context,
                               const boot_evidence& present, const pool_limits& limits,
                               const unavailable_vms& observed) {
    if (auto error = check_phase(record, vm, {vm_phase::reserved})) {
        return tl::unexpected(*std::move(error));
    }
    const pool_vm& reserved = record.vms.at(vm);
    if (reserved.operation != context.operation) {
        return refuse(transition_error_kind::wrong_operation, vm, "reserved by another operation");
    }
    if (present.boot.empty()) {
        return refuse(transition_error_kind::stale_evidence, vm, "boot identity unknown");
    }
    const bool was_failed = !reserved.old_boot.empty();
    if (!was_failed) {
        if (auto error = check_budget(record, vm, limits, observed)) {
            return tl::unexpected(*std::move(error));
        }
    }
    pool_record changed = record;
    pool_vm& entry = changed.vms.at(vm);
    entry.phase = vm_phase::acting;
    entry.since = context.now;
    entry.actor = context.actor;
    entry.old_boot = present.boot;
    entry.old_boot_index = present.list_index;
    return changed;
}

transition_result release(const pool_record& record, const vm_id& vm, const boot_evidence& seen,
                          absl::Time now) {
    if (auto error = check_phase(record, vm, {vm_phase::acting})) {
        return tl::unexpected(*std::move(error));
    }
    if (!is_newer_boot(record.vms.at(vm), seen)) {
        return refuse(transition_error_kind::stale_evidence, vm, "no newer boot identity seen");
    }
    if (seen.role != record.pool) {
        return refuse(transition_error_kind::stale_evidence, vm, "serves in another role");
    }
    pool_record changed = record;
    pool_vm& entry = changed.vms.at(vm);
    set_serving(entry, now);
    entry.maintained_at = maintenance_time(record, now);
    return changed;
}

transition_result renew_action(const pool_record& record, const vm_id& vm, const boot_evidence& seen) {
    if (auto error = check_phase(record, vm, {vm_phase::acting})) {
        return tl::unexpected(*std::move(error));
    }
    if (!is_newer_boot(record.vms.at(vm), seen) || seen.role == record.pool) {
        return refuse(transition_error_kind::stale_evidence, vm, "no newer boot identity in another role");
    }
    pool_record changed = record;
    pool_vm& entry = changed.vms.at(vm);
    entry.old_boot = seen.boot;
    entry.old_boot_index = seen.list_index;
    return changed;
}

transition_result restart_failed(const pool_record& record, const vm_id& vm,
                                 const operation_context& context) {
    if (auto error = check_phase(record, vm, {vm_phase::failed})) {
        return tl::unexpected(*std::move(error));
    }
    pool_record changed = record;
    pool_vm& entry = changed.vms.at(vm);
    entry.phase = vm_phase::reserved;
    entry.since = context.now;
    entry.operation = context.operation;
    entry.actor = context.actor;
    return changed;
}

transition_result withdraw(const pool_record& record, const vm_id& vm, const operation_id& operation,
                           absl::Time now) {
    if (auto error = check_phase(record, vm, {vm_phase::reserved})) {
        return tl::unexpected(*std::move(error));
    }
    pool_record changed = record;
    pool_vm& entry = changed.vms.at(vm);
    if (entry.operation != operation) {
        return refuse(transition_error_kind::wrong_operation, vm, "reserved by another operation");
    }
    const boot_evidence failed_boot{entry.old_boot, record.pool, entry.old_boot_index};
    if (!failed_boot.boot.empty()) {
        return mark_failed(record, vm, failed_boot, now);
    }
    set_serving(entry, now);
    return changed;
}

transition_result mark_failed(const pool_record& record, const vm_id& vm, const boot_evidence& last_seen,
                              absl::Time now) {
    if (auto error = check_phase(record, vm, {vm_phase::serving, vm_phase::reserved})) {
        return tl::unexpected(*std::move(error));
    }
    pool_record changed = record;
    pool_vm& entry = changed.vms.at(vm);
    set_serving(entry, now);
    entry.phase = vm_phase::failed;
    entry.old_boot = last_seen.boot;
    entry.old_boot_index = last_seen.list_index;
    return changed;
}

transition_result recover(const pool_record& record, const vm_id& vm, const boot_evidence& seen,
                          absl::Time now) {
    if (auto error = check_phase(record, vm, {vm_phase::failed})) {
        return tl::unexpected(*std::move(error));
    }
    if (!is_newer_boot(record.vms.at(vm), seen) || seen.role != record.pool) {
        return refuse(transition_error_kind::stale_evidence, vm, "no newer boot identity in this role seen");
    }
    pool_record changed = record;
    set_serving(changed.vms.at(vm), now);
    return changed;
}

transition_result remove_terminated(const pool_record& record, const vm_id& vm) {
    if (!record.vms.contains(vm)) {
        return refuse(transition_error_kind::unknown_vm, vm, "not in the pool record");
    }
    pool_record changed = record;
    changed.vms.erase(vm);
    return changed;
}

}  // namespace masticpass
