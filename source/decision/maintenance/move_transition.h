#ifndef MASTICPASS_DECISION_MAINTENANCE_MOVE_TRANSITION_H
#define MASTICPASS_DECISION_MAINTENANCE_MOVE_TRANSITION_H

#include <map>
#include <optional>

#include "decision/maintenance/transition.h"

namespace masticpass {

// The transitions of a move of a VM from a source pool to a target pool. Each one changes a single record;
// the record of the other pool is only read and may be stale. The operation id identifies the move in both
// records, so it must be used for one move only.

// Source: `serving` to `moving_out`, if the budget and the pool's minimum size permit it.
transition_result start_move(const pool_record& source, const vm_id& vm, const pool_name& target,
                             const operation_context& context, const pool_limits& limits,
                             const unavailable_vms& observed);

// Source: `moving_out` back to `serving`. The `incoming` entry in the target is removed later.
transition_result cancel_move(const pool_record& source, const vm_id& vm, const operation_id& operation,
                              absl::Time now);

// Target: adds an `incoming` entry for the VM, if the source's record shows the move to this target.
transition_result add_incoming(const pool_record& target, const vm_id& vm, const stored_pool_record& source,
                               const incarnation_id& actor, absl::Time now);

// Source: removes the VM and records its departure, if the target has an `incoming` entry of the same
// operation. Writing this record transfers the ownership. Precondition: the VM is drained.
transition_result hand_over(const pool_record& source, const vm_id& vm, const stored_pool_record& target);

// Target: `incoming` to `acting`, once a departure in the source's record shows that this operation handed
// the VM over.
transition_result start_joining(const pool_record& target, const vm_id& vm, const pool_record& source,
                                const boot_observation& current, const incarnation_id& actor, absl::Time now);

// Target: removes the `incoming` entry of a move that the source cancelled. The source's record must be at
// least as new as the one from which the entry was added.
transition_result remove_incoming(const pool_record& target, const vm_id& vm,
                                  const stored_pool_record& source);

// Source: removes a departure after the target has started to reboot the VM into its role.
transition_result remove_departure(const pool_record& source, const vm_id& vm,
                                   const stored_pool_record& target);

// Adds an `incoming` entry without a source for a VM that no record lists. Preconditions: `all` is a
// consistent read of all pool records and contains `record`; the VM list shows this pool as the VM's role.
transition_result admit_vm(const pool_record& record, const vm_id& vm, const zone_name& zone,
                           const rack_name& rack, const operation_context& context,
                           const std::map<pool_name, stored_pool_record>& all);

// `incoming` without a source to `serving`, once the VM serves in the role of this pool.
transition_result complete_admission(const pool_record& record, const vm_id& vm, const boot_observation& seen,
                                     absl::Time now);

// The pool that owns the VM according to `all`, a consistent read of all records; nullopt if none does.
std::optional<pool_name> owner_of(const vm_id& vm, const std::map<pool_name, stored_pool_record>& all);

}  // namespace masticpass

#endif
