#ifndef MASTICPASS_MEASURE_SUPPORT_WORTH_BOUND_H
#define MASTICPASS_MEASURE_SUPPORT_WORTH_BOUND_H

#include "support/serving_trace.h"

namespace masticpass::measure {

// An upper bound on the worth that any schedule completes on time, even one that knows every run time,
// arrival and fault in advance. The bound is the optimum of a relaxed problem: a job may be divided and run
// on several slots at once, a part of a job counts in proportion, and arrivals are rounded down and deadlines
// up to whole steps. A greedy choice by worth per slot-second solves this problem exactly, because the
// amounts that can be served form a polymatroid.
double worth_upper_bound(const serving_trace& trace, double step);

}  // namespace masticpass::measure

#endif
