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
        return refuse(transition_error_kind::unknown_vm, vm, "is not in the pool record").value();
    }
    if (std::find(phases.begin(), phases.end(), found->second.phase) == phases.end()) {
        return refuse(transition_error_kind::wrong_phase, vm,
                      "is in phase " + std::string(to_string(found->second.phase)))
            .value();
    }
    return std::nullopt;
}

transition_result change_vm(const pool_record& record, const vm_id& vm,
                            std::initializer_list<vm_phase> phases, vm_change change) {
    if (auto error = check_phase(record, vm, phases)) {
        return tl::unexpected(*std::move(error));
    }
    pool_record changed = record;
    if (auto result = change(changed.vms.at(vm)); !result) {
        return tl::unexpected(std::move(result.error()));
    }
    return changed;
}

void set_operation(pool_vm& vm, vm_phase phase, const operation_context& context) {
    vm.phase = phase;
    vm.since = context.now;
    vm.operation = context.operation;
    vm.actor = context.actor;
}

void set_old_boot(pool_vm& vm, const boot_observation& current) {
    vm.old_boot = current.boot;
    vm.old_boot_index = current.list_index;
}

std::optional<transition_error> check_budget(const pool_record& record, const vm_id& vm,
                                             const pool_limits& limits, const unavailable_vms& observed) {
    const unavailable_vm_counts counts(record, observed, limits.minimum_vms);
    if (const auto exceeded = counts.exceeded_limit(limits.budget)) {
        return refuse(transition_error_kind::budget_exceeded, vm, *exceeded).value();
    }
    return std::nullopt;
}

bool is_newer_boot(const pool_vm& vm, const boot_observation& seen) {
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

namespace {

void set_failed(pool_vm& vm, const boot_observation& last_seen, absl::Time now) {
    set_serving(vm, now);
    vm.phase = vm_phase::failed;
    set_old_boot(vm, last_seen);
}

// A VM that had failed before it was reserved is still failed.
void undo_reservation(pool_vm& vm, absl::Time now) {
    const boot_observation failed_boot{vm.old_boot, {}, vm.old_boot_index};
    if (failed_boot.boot.empty()) {
        set_serving(vm, now);
        return;
    }
    set_failed(vm, failed_boot, now);
}

}  // namespace

transition_result reserve(const pool_record& record, const vm_id& vm, const wave_name& wave,
                          const operation_context& context, const pool_limits& limits,
                          const unavailable_vms& observed) {
    auto changed = change_vm(record, vm, {vm_phase::serving}, [&](pool_vm& entry) {
        set_operation(entry, vm_phase::reserved, context);
        entry.wave = wave;
        return change_result();
    });
    if (!changed) {
        return changed;
    }
    if (auto error = check_budget(*changed, vm, limits, observed)) {
        return tl::unexpected(*std::move(error));
    }
    return changed;
}

transition_result start_reboot(const pool_record& record, const vm_id& vm, const operation_context& context,
                               const boot_observation& current, const pool_limits& limits,
                               const unavailable_vms& observed) {
    return change_vm(record, vm, {vm_phase::reserved}, [&](pool_vm& entry) -> change_result {
        if (entry.operation != context.operation) {
            return refuse(transition_error_kind::wrong_operation, vm, "is reserved by another operation");
        }
        if (current.boot.empty()) {
            return refuse(transition_error_kind::stale_observation, vm, "boot identity unknown");
        }
        const bool was_failed = !entry.old_boot.empty();
        if (!was_failed) {
            if (auto error = check_budget(record, vm, limits, observed)) {
                return tl::unexpected(*std::move(error));
            }
        }
        set_operation(entry, vm_phase::acting, context);
        set_old_boot(entry, current);
        return {};
    });
}

transition_result complete_reboot(const pool_record& record, const vm_id& vm, const boot_observation& seen,
                                  absl::Time now) {
    return change_vm(record, vm, {vm_phase::acting}, [&](pool_vm& entry) -> change_result {
        if (!is_newer_boot(entry, seen)) {
            return refuse(transition_error_kind::stale_observation, vm,
                          "no newer boot identity was observed");
        }
        if (seen.role != record.pool) {
            return refuse(transition_error_kind::stale_observation, vm, "serves in the role of another pool");
        }
        set_serving(entry, now);
        entry.maintained_at = maintenance_time(record, now);
        return {};
    });
}

transition_result renew_old_boot(const pool_record& record, const vm_id& vm, const boot_observation& seen) {
    return change_vm(record, vm, {vm_phase::acting}, [&](pool_vm& entry) -> change_result {
        if (!is_newer_boot(entry, seen) || seen.role == record.pool) {
            return refuse(transition_error_kind::stale_observation, vm,
                          "no newer boot identity was observed in another role");
        }
        set_old_boot(entry, seen);
        return {};
    });
}

transition_result reserve_failed(const pool_record& record, const vm_id& vm,
                                 const operation_context& context) {
    return change_vm(record, vm, {vm_phase::failed}, [&](pool_vm& entry) {
        set_operation(entry, vm_phase::reserved, context);
        return change_result();
    });
}

transition_result cancel_reservation(const pool_record& record, const vm_id& vm,
                                     const operation_id& operation, absl::Time now) {
    return change_vm(record, vm, {vm_phase::reserved}, [&](pool_vm& entry) -> change_result {
        if (entry.operation != operation) {
            return refuse(transition_error_kind::wrong_operation, vm, "is reserved by another operation");
        }
        undo_reservation(entry, now);
        return {};
    });
}

transition_result mark_failed(const pool_record& record, const vm_id& vm, const boot_observation& last_seen,
                              absl::Time now) {
    return change_vm(record, vm, {vm_phase::serving, vm_phase::reserved}, [&](pool_vm& entry) {
        set_failed(entry, last_seen, now);
        return change_result();
    });
}

transition_result mark_recovered(const pool_record& record, const vm_id& vm, const boot_observation& seen,
                                 absl::Time now) {
    return change_vm(record, vm, {vm_phase::failed}, [&](pool_vm& entry) -> change_result {
        if (!is_newer_boot(entry, seen) || seen.role != record.pool) {
            return refuse(transition_error_kind::stale_observation, vm,
                          "no newer boot identity was observed in this role");
        }
        set_serving(entry, now);
        return {};
    });
}

transition_result remove_terminated(const pool_record& record, const vm_id& vm) {
    if (!record.vms.contains(vm)) {
        return refuse(transition_error_kind::unknown_vm, vm, "is not in the pool record");
    }
    pool_record changed = record;
    changed.vms.erase(vm);
    return changed;
}

}  // namespace masticpass
