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

// Every VM is maintained once in this time.
inline constexpr absl::Duration maintenance_period = absl::Hours(24 * 42);
// Planning of due VMs starts this long before the period ends. A week leaves room for failures and for pools
// whose budget lets only one VM go at a time.
inline constexpr absl::Duration maintenance_lead_time = absl::Hours(24 * 7);
// A VM that has been down for this long no longer holds up the end of a wave. It keeps its unit of the
// budget.
inline constexpr absl::Duration return_timeout = absl::Minutes(30);

// A VM to reserve, and the wave it is for; `wave` is empty for a VM that is merely due.
struct planned_reservation {
    vm_id vm;
    wave_name wave;
};

// The VMs to reserve next in one pool: as many as the budget leaves, zones and racks that already have
// unavailable VMs first where the number of such domains is limited, then the domains that need the most
// rounds. Only running waves that have started in the record are served.
std::vector<planned_reservation> plan_reservations(const pool_record& record, const pool_limits& limits,
                                                   const unavailable_vms& observed,
                                                   const unavailable_vms& restartable,
                                                   absl::Span<const declared_wave> waves, absl::Time now);

// True if the VM still has to be maintained for a wave that started at `started_at`.
bool is_pending(const pool_vm& vm, absl::Time started_at);

// True if the VM is failed or has been acting for longer than `never_returned_after`.
bool has_exceeded_return_timeout(const pool_vm& vm, absl::Time now);

// The number of rounds that the budget forces on a pool with these VMs, each round taking the time of one VM.
// nullopt if the budget admits no VM.
std::optional<int> lower_bound_rounds(const pool_record& record, const availability_budget& budget);

}  // namespace masticpass

#endif
