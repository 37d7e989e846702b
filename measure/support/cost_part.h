#ifndef MASTICPASS_MEASURE_SUPPORT_COST_PART_H
#define MASTICPASS_MEASURE_SUPPORT_COST_PART_H

#include <cstdint>

namespace masticpass::measure {

// Prints the time and memory of the scheduler for several queue lengths and numbers of instances, and those
// of the identity registry for several numbers of live identities.
void measure_cost(std::uint64_t seed);

}  // namespace masticpass::measure

#endif
