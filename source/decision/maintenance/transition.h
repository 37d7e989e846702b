#ifndef MASTICPASS_DECISION_MAINTENANCE_TRANSITION_H
#define MASTICPASS_DECISION_MAINTENANCE_TRANSITION_H

#include <cstdint>
#include <string>

#include <absl/time/time.h>
#include <tl/expected.hpp>

#include "decision/maintenance/budget_check.h"
#include "decision/maintenance/pool_record.h"

namespace masticpass {

enum class transition_error_kind {
    unknown_vm,
    wrong_phase,
    wrong_operation,
    budget_exceeded,
    below_minimum,
    stale_observation,
    not_owner,
    already_listed,
};

struct transition_error {
    transition_error_kind kind;
    std::string message;
};

// The changed record, to be written by compare-and-swap at the revision of the record that was passed in.
using transition_result = tl::expected<pool_record, transition_error>;

// Who makes a change and when.
struct operation_context {
    operation_id operation;
    incarnation_id actor;
    absl::Time now;
};

// An observation of a VM: its boot identity, the role it runs, and the index of the VM list that showed both.
struct boot_observation {
    boot_id boot;
    pool_name role;
    std::int64_t list_index = 0;
};

// `serving` to `reserved`, if the budget permits it in addition to all VMs that are unavailable.
transition_result reserve(const pool_record& record, const vm_id& vm, const wave_name& wave,
                          const operation_context& context, const pool_limits& limits,
                          const unavailable_vms& observed);

// `reserved` to `acting`. Checks the budget again, because VMs may have failed since the reservation.
// `current` is the current boot identity, which the reboot replaces. Precondition: the VM is drained.
transition_result start_reboot(const pool_record& record, const vm_id& vm, const operation_context& context,
                               const boot_observation& current, const pool_limits& limits,
                               const unavailable_vms& observed);

// `acting` to `serving`. Requires a boot identity newer than the stored one, in the role of this pool.
// Precondition: the VM passes its health probes.
transition_result complete_reboot(const pool_record& record, const vm_id& vm, const boot_observation& seen,
                                  absl::Time now);

// Replaces the stored boot identity of a joining VM that rebooted by itself in its old role, so that the
// reboot into the new role can be called again.
transition_result renew_old_boot(const pool_record& record, const vm_id& vm, const boot_observation& seen);

// `failed` to `reserved` for a VM that passes its health probes again without having rebooted, so that it is
// drained and rebooted. The budget is not checked, because the VM is out of service already.
transition_result reserve_failed(const pool_record& record, const vm_id& vm,
                                 const operation_context& context);

// `reserved` back to `serving`, or to `failed` after reserve_failed(), if `operation` made the reservation.
transition_result cancel_reservation(const pool_record& record, const vm_id& vm,
                                     const operation_id& operation, absl::Time now);

// `serving` or `reserved` to `failed`. `last_seen` holds the last known boot identity.
transition_result mark_failed(const pool_record& record, const vm_id& vm, const boot_observation& last_seen,
                              absl::Time now);

// `failed` to `serving`. Requires a boot identity newer than the stored one, in the role of this pool.
transition_result mark_recovered(const pool_record& record, const vm_id& vm, const boot_observation& seen,
                                 absl::Time now);

// Removes a VM, in any phase. Precondition: the VM list reports it as terminated.
transition_result remove_terminated(const pool_record& record, const vm_id& vm);

}  // namespace masticpass

#endif
