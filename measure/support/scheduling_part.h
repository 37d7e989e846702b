#ifndef MASTICPASS_MEASURE_SUPPORT_SCHEDULING_PART_H
#define MASTICPASS_MEASURE_SUPPORT_SCHEDULING_PART_H

#include <cstdint>

namespace masticpass::measure {

// Wait of short work behind long work and throughput, against one first-come queue.
void measure_short_wait(std::uint64_t seed);

// What took the slots while the short work with the longest waits waited, and the lowest p99 that a fixed
// number of kept slots reaches with the true classes and at most 3% of the work lost.
void measure_wait_causes(std::uint64_t seed);

// Worth of work done on time in bursts, against first come, deadline order and an upper bound, which is
// tighter for a shorter step in seconds.
void measure_worth(std::uint64_t seed, double bound_step);

// Retries per request while servers fail, against unlimited retries.
void measure_retries(std::uint64_t seed);

}  // namespace masticpass::measure

#endif
