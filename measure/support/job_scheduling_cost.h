#ifndef MASTICPASS_MEASURE_JOB_SCHEDULING_COST_H
#define MASTICPASS_MEASURE_JOB_SCHEDULING_COST_H

#include <cstdint>
#include <span>

namespace masticpass::measure {

// Simulates the job scheduler of one shard for each number of workers and prints the CPU time that its
// decisions take. The queues take turns with bursts of several times their mean demand, and the workers run
// in virtual time.
void print_scheduling_cost(std::span<const int> worker_counts, std::uint64_t seed);

}  // namespace masticpass::measure

#endif
