#ifndef MASTICPASS_MEASURE_SUPPORT_AT_MOST_ONCE_PART_H
#define MASTICPASS_MEASURE_SUPPORT_AT_MOST_ONCE_PART_H

#include <cstdint>

namespace masticpass::measure {

// Prints the store calls per request that must not be repeated, and the refusals when an entry VM is lost,
// for the identity registry and for two alternatives: one store write per request, and claims that are
// written in batches. The figures come from a simulation and depend only on the seed.
void measure_at_most_once(std::uint64_t seed);

}  // namespace masticpass::measure

#endif
