#ifndef MASTICPASS_MEASURE_SUPPORT_PLACEMENT_COMPARISON_H
#define MASTICPASS_MEASURE_SUPPORT_PLACEMENT_COMPARISON_H

#include <cstdint>
#include <string>

namespace masticpass::measure {

// For each deployment (or only the named one) and seed, finds each strategy's smallest fleet with the
// required on-time service and prints its spare buffer and moves.
void print_buffer_and_moves(std::uint64_t first_seed, int seeds, const std::string& only_deployment);

}  // namespace masticpass::measure

#endif
