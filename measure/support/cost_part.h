#ifndef MASTICPASS_MEASURE_SUPPORT_COST_PART_H
#define MASTICPASS_MEASURE_SUPPORT_COST_PART_H

#include <cstdint>

namespace masticpass::measure {

// Time and memory of the scheduler by queue length and by instances, and of the registry by live identities.
void measure_cost(std::uint64_t seed);

}  // namespace masticpass::measure

#endif
