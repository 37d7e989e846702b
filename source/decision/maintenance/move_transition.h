#ifndef MASTICPASS_DECISION_MAINTENANCE_MOVE_TRANSITION_H
#define MASTICPASS_DECISION_MAINTENANCE_MOVE_TRANSITION_H

#include <map>
#include <optional>

#include "decision/maintenance/transition.h"

namespace masticpass {

// The steps of a move from a source pool to a target pool. Each changes one record; the other one is only
// read and may be stale. The operation id ties the steps together, so it must be used for one move only.

// Source: `serving` to `moving_out`, within the budget and not below the pool's minimum size.
transition_result start_move(const pool_record& source, const vm_id& vm, const pool_name& target,
                             const operation_context& context, const pool_limits& limits,
                             const unavailable_vms& observed);

// Source: `moving_out` back to `serving`. The note in the target is dropped later.
transition_result cancel_move(const pool_record& source, const vm_id& vm, const operation_id& operation,
                              absl::Time now);

// Target: adds the VM as `incoming`, if the source shows the move to this target.
transition_result add_incoming(const pool_record& target, const vm_id& vm, const stored_pool_record& source,
                               const incarnation_id& actor, absl::Time now);

// Source: removes the VM, if the target notes this very move. This write decides ownership.
// Precondition: the VM is drained.
transition_result hand_over(const pool_record& source, const vm_id& vm, const stored_pool_record& target);

// Target: `incoming` to `acting`, once the source's departure shows that this move was completed.
transition_result start_joining(const pool_record& target, const vm_id& vm, const pool_record& source,
                                const boot_observation& present, const incarnation_id& actor, absl::Time now);

// Target: removes the note of a move that the source cancelled. The source must be at least as new as the
// note.
transition_result remove_incoming(const pool_record& target, const vm_id& vm,
                                  const stored_pool_record& source);

// Source: forgets a departure after the target has taken the VM on.
transition_result remove_departure(const pool_record& source, const vm_id& vm,
                                   const stored_pool_record& target);

// Adds a VM that no record lists, as `incoming` without a source. Precondition: `all` is one consistent read
// of all pool records and contains `record`, and the VM list gives this pool as the VM's role.
transition_result admit_vm(const pool_record& record, const vm_id& vm, const zone_name& zone,
                           const rack_name& rack, const operation_context& context,
                           const std::map<pool_name, stored_pool_record>& all);

// `incoming` without a source to `serving`, when the VM serves in the role of this pool.
transition_result complete_admission(const pool_record& record, const vm_id& vm, const boot_observation& seen,
                                     absl::Time now);

// The pool that owns the VM according to `all`, a consistent read of all records; nullopt if none does.
std::optional<pool_name> owner_of(const vm_id& vm, const std::map<pool_name, stored_pool_record>& all);

}  // namespace masticpass

#endif
