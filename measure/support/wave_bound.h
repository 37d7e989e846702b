#ifndef MASTICPASS_MEASURE_WAVE_BOUND_H
#define MASTICPASS_MEASURE_WAVE_BOUND_H

#include <vector>

#include <absl/types/span.h>

#include "decision/maintenance/budget_check.h"
#include "decision/maintenance/pool_record.h"

namespace masticpass::measure {

// A period during which a VM was out of service without being maintained, in seconds since the wave began.
struct outage {
    vm_id vm;
    int begin = 0;
    int end = 0;
};

// A lower bound, in seconds, of the length of a wave over the VMs of one pool. Maintenance takes each VM out
// of service for `seconds_per_vm`, and the pool's budget also has to cover `outages`. At any time, no
// schedule can maintain more VMs than the budget permits in addition to those that have failed. The bound is
// the earliest time at which maintenance at this maximum is complete for all VMs. Preconditions: the budget
// is satisfiable and every outage ends.
int wave_bound(const pool_record& record, const availability_budget& budget, absl::Span<const outage> outages,
               int seconds_per_vm);

}  // namespace masticpass::measure

#endif
