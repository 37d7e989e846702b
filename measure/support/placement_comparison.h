#ifndef MASTICPASS_MEASURE_SUPPORT_PLACEMENT_COMPARISON_H
#define MASTICPASS_MEASURE_SUPPORT_PLACEMENT_COMPARISON_H

#include <cstdint>
#include <string>

namespace masticpass::measure {

// For each seed and each deployment, finds the smallest fleet with which each strategy reaches the required
// on-time service, and prints its spare buffer and moves. If `only_deployment` is not empty, only the
// deployment of that name is simulated.
void print_buffer_and_moves(std::uint64_t first_seed, int seeds, const std::string& only_deployment);

}  // namespace masticpass::measure

#endif
