#ifndef MASTICPASS_MEASURE_SUPPORT_PLACEMENT_COMPARISON_H
#define MASTICPASS_MEASURE_SUPPORT_PLACEMENT_COMPARISON_H

#include <cstdint>

namespace masticpass::measure {

// For each deployment and seed, finds each strategy's smallest fleet with the required on-time service and
// prints its spare buffer and moves.
void print_buffer_and_moves(std::uint64_t first_seed, int seeds);

}  // namespace masticpass::measure

#endif
