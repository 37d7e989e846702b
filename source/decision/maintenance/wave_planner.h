#ifndef MASTICPASS_DECISION_MAINTENANCE_WAVE_PLANNER_H
#define MASTICPASS_DECISION_MAINTENANCE_WAVE_PLANNER_H

#include <optional>
#include <vector>

#include <absl/time/time.h>
#include <absl/types/span.h>

#include "decision/maintenance/budget_check.h"

namespace masticpass {

enum class wave_state { running, paused, cancelled };

// A wave as declared in the configuration.
struct declared_wave {
    wave_name name;
    std::vector<pool_name> pools;
    wave_state state = wave_state::running;
};

// Every VM is maintained at least once in this period.
inline constexpr absl::Duration maintenance_period = absl::Hours(24 * 42);
// The maintenance of a VM becomes due this long before its period ends. A week leaves time for failures and
// for pools whose budget permits only one VM at a time.
inline constexpr absl::Duration maintenance_lead_time = absl::Hours(24 * 7);
// A wave no longer waits for a VM that has been out of service for this long. The VM still counts as
// unavailable in the budget.
inline constexpr absl::Duration return_timeout = absl::Minutes(30);

// A VM to reserve, and the wave for which it is reserved; `wave` is empty if only its maintenance is due.
struct planned_reservation {
    vm_id vm;
    wave_name wave;
};

// The VMs to reserve next in one pool, as many as the budget permits. Where the number of zones or racks with
// unavailable VMs is limited, VMs of zones and racks that already have some come first, then VMs of the
// domains that need the most rounds. Only waves that are running and have started in the record are
// considered. `rebootable` lists VMs that count as unavailable but can be drained and rebooted.
std::vector<planned_reservation> plan_reservations(const pool_record& record, const pool_limits& limits,
                                                   const unavailable_vms& observed,
                                                   const unavailable_vms& rebootable,
                                                   absl::Span<const declared_wave> waves, absl::Time now);

// True if the VM still has to be maintained for a wave that started at `started_at`.
bool is_pending(const pool_vm& vm, absl::Time started_at);

// True if the VM has been failed or acting for longer than `return_timeout`.
bool has_exceeded_return_timeout(const pool_vm& vm, absl::Time now);

// The least number of rounds in which the budget permits the maintenance of all VMs of the pool; a round
// takes as long as the maintenance of one VM. nullopt if the budget permits no maintenance.
std::optional<int> lower_bound_rounds(const pool_record& record, const availability_budget& budget);

}  // namespace masticpass

#endif
