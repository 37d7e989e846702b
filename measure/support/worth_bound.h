#ifndef MASTICPASS_MEASURE_SUPPORT_WORTH_BOUND_H
#define MASTICPASS_MEASURE_SUPPORT_WORTH_BOUND_H

#include "support/serving_trace.h"

namespace masticpass::measure {

// An upper bound on the worth that any schedule completes on time, even one that knows every size, arrival
// and fault. It lets a job be divided and run on several slots at once, counts divided jobs in proportion,
// and rounds arrivals down and deadlines up to full steps. For this relaxation the greedy choice by worth per
// slot-second is exact, because the amounts that can be served form a polymatroid.
double worth_upper_bound(const serving_trace& trace, double step);

}  // namespace masticpass::measure

#endif
