#ifndef MASTICPASS_MEASURE_SUPPORT_AT_MOST_ONCE_PART_H
#define MASTICPASS_MEASURE_SUPPORT_AT_MOST_ONCE_PART_H

#include <cstdint>

namespace masticpass::measure {

// Store calls per request that must not be repeated, and refusals when an entry VM is lost, against one store
// write per request and against batched claims.
void measure_at_most_once(std::uint64_t seed);

}  // namespace masticpass::measure

#endif
