#ifndef MASTICPASS_MEASURE_WAVE_BOUND_H
#define MASTICPASS_MEASURE_WAVE_BOUND_H

#include <vector>

#include <absl/types/span.h>

#include "decision/maintenance/budget_check.h"
#include "decision/maintenance/pool_record.h"

namespace masticpass::measure {

// A time during which a VM was out of service without being maintained, in seconds since the wave began.
struct outage {
    vm_id vm;
    int begin = 0;
    int end = 0;
};

// A lower bound, in seconds, of the length of a wave over the VMs of one pool, each of which is out of
// service for `seconds_per_vm`, when the pool's budget also has to cover `outages`. At each moment, no
// schedule can maintain more VMs than the budget admits beside those that have failed; the bound is the first
// time by which these add up to the maintenance of all VMs. Preconditions: the budget is satisfiable and
// every outage ends.
int wave_bound(const pool_record& record, const availability_budget& budget, absl::Span<const outage> outages,
               int seconds_per_vm);

}  // namespace masticpass::measure

#endif
