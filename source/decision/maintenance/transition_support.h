#ifndef MASTICPASS_DECISION_MAINTENANCE_TRANSITION_SUPPORT_H
#define MASTICPASS_DECISION_MAINTENANCE_TRANSITION_SUPPORT_H

#include <initializer_list>
#include <optional>
#include <string>

#include <absl/functional/function_ref.h>

#include "decision/maintenance/transition.h"

namespace masticpass {

// Helper functions of the transitions of a single record and of the transitions of a move.

tl::unexpected<transition_error> refuse(transition_error_kind kind, const vm_id& vm,
                                        const std::string& message);

// An error if the VM is in none of the phases; nullopt otherwise.
std::optional<transition_error> check_phase(const pool_record& record, const vm_id& vm,
                                            std::initializer_list<vm_phase> phases);

// Changes the entry of a VM. An error rejects the whole transition.
using change_result = tl::expected<void, transition_error>;
using vm_change = absl::FunctionRef<change_result(pool_vm& entry)>;

// A copy of the record with `change` applied to the VM's entry. Rejected if the VM is in none of the phases.
transition_result change_vm(const pool_record& record, const vm_id& vm,
                            std::initializer_list<vm_phase> phases, vm_change change);

// Sets the phase and the members that identify the operation.
void set_operation(pool_vm& vm, vm_phase phase, const operation_context& context);

// Stores the boot identity that must be replaced by a newer one before the VM serves again.
void set_old_boot(pool_vm& vm, const boot_observation& current);

// An error if the unavailable VMs exceed the budget; nullopt otherwise.
std::optional<transition_error> check_budget(const pool_record& record, const vm_id& vm,
                                             const pool_limits& limits, const unavailable_vms& observed);

// True if the observed boot identity differs from the stored one and comes from a newer VM list.
bool is_newer_boot(const pool_vm& vm, const boot_observation& seen);

// Sets the phase to `serving` and clears all members that belong to an operation.
void set_serving(pool_vm& vm, absl::Time now);

// The time to store as `maintained_at`. It is never before the start of a wave in the record: the clock of
// the entry VM that started the wave may be ahead, and the VM would be maintained a second time.
absl::Time maintenance_time(const pool_record& record, absl::Time now);

}  // namespace masticpass

#endif
