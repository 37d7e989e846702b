#ifndef MASTICPASS_DECISION_MAINTENANCE_TRANSITION_SUPPORT_H
#define MASTICPASS_DECISION_MAINTENANCE_TRANSITION_SUPPORT_H

#include <initializer_list>
#include <optional>
#include <string>

#include <absl/functional/function_ref.h>

#include "decision/maintenance/transition.h"

namespace masticpass {

// Shared by the transitions of one record and the steps of a move.

tl::unexpected<transition_error> refuse(transition_error_kind kind, const vm_id& vm,
                                        const std::string& message);

// The reason why the VM is not in one of the phases; nullopt if it is.
std::optional<transition_error> check_phase(const pool_record& record, const vm_id& vm,
                                            std::initializer_list<vm_phase> phases);

// Changes the entry of a VM; an error refuses the transition as a whole.
using change_result = tl::expected<void, transition_error>;
using vm_change = absl::FunctionRef<change_result(pool_vm& entry)>;

// A copy of the record in which `change` was applied to the VM's entry. Refused if the VM is not in one of
// the phases.
transition_result change_vm(const pool_record& record, const vm_id& vm,
                            std::initializer_list<vm_phase> phases, vm_change change);

// Puts the VM in `phase` for the operation.
void set_operation(pool_vm& vm, vm_phase phase, const operation_context& context);

// Notes the boot identity that must be followed by a newer one.
void set_old_boot(pool_vm& vm, const boot_observation& present);

// The reason why the budget does not hold in this record; nullopt if it holds.
std::optional<transition_error> check_budget(const pool_record& record, const vm_id& vm,
                                             const pool_limits& limits, const unavailable_vms& observed);

// True if the sighting is newer than the stored boot identity and differs from it.
bool is_newer_boot(const pool_vm& vm, const boot_observation& seen);

// Puts the VM in service: clears all members that belong to an operation.
void set_serving(pool_vm& vm, absl::Time now);

// The time to note as `maintained_at`. Not before the start of any wave, because the clock of the entry VM
// that started the wave may be ahead.
absl::Time maintenance_time(const pool_record& record, absl::Time now);

}  // namespace masticpass

#endif
