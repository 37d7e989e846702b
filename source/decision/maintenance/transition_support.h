#ifndef MASTICPASS_DECISION_MAINTENANCE_TRANSITION_SUPPORT_H
#define MASTICPASS_DECISION_MAINTENANCE_TRANSITION_SUPPORT_H

#include <initializer_list>
#include <optional>
#include <string>

#include "decision/maintenance/transition.h"

namespace masticpass {

// Shared by the transitions of one record and the steps of a move.

tl::unexpected<transition_error> refuse(transition_error_kind kind, const vm_id& vm,
                                        const std::string& message);

// The reason why the VM is not in one of the phases; nullopt if it is.
std::optional<transition_error> check_phase(const pool_record& record, const vm_id& vm,
                                            std::initializer_list<vm_phase> phases);

// The reason why the budget does not hold in this record; nullopt if it holds.
std::optional<transition_error> check_budget(const pool_record& record, const vm_id& vm,
                                             const pool_limits& limits, const unavailable_vms& observed);

// True if the sighting is newer than the stored boot identity and differs from it.
bool is_newer_boot(const pool_vm& vm, const boot_evidence& seen);

// Puts the VM in service: clears all members that belong to an operation.
void set_serving(pool_vm& vm, absl::Time now);

// The time to note as `maintained_at`. Not before the start of any wave, because the clock of the entry VM
// that started the wave may be ahead.
absl::Time maintenance_time(const pool_record& record, absl::Time now);

}  // namespace masticpass

#endif
