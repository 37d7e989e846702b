#ifndef MASTICPASS_MEASURE_SUPPORT_SCHEDULING_PART_H
#define MASTICPASS_MEASURE_SUPPORT_SCHEDULING_PART_H

#include <cstdint>

namespace masticpass::measure {

// Prints how long short work waits behind long work, and the throughput, in comparison with a single
// first-come queue.
void measure_short_wait(std::uint64_t seed);

// Prints what occupied the slots during the longest waits of short work. In addition, prints the lowest p99
// wait of a policy that knows the true size class of each job and reserves a fixed number of slots for short
// work, with at most 3% of the work lost.
void measure_wait_causes(std::uint64_t seed);

// Prints the worth of the work done on time in bursts, in comparison with first-come order, deadline order
// and an upper bound. The bound is tighter for a shorter `bound_step`, which is in seconds.
void measure_worth(std::uint64_t seed, double bound_step);

// Prints the retries per request while servers fail, in comparison with unlimited retries.
void measure_retries(std::uint64_t seed);

}  // namespace masticpass::measure

#endif
