#ifndef MASTICPASS_MEASURE_SUPPORT_PLACEMENT_COST_H
#define MASTICPASS_MEASURE_SUPPORT_PLACEMENT_COST_H

#include <cstdint>

namespace masticpass::measure {

// Prints the time of one decision for 1,400 VMs in 181 pools, both incremental and as a full computation.
void print_decision_time(std::uint64_t seed);

// Prints the memory used by the demand tracker and by the planner for several sizes.
void print_memory();

}  // namespace masticpass::measure

#endif
