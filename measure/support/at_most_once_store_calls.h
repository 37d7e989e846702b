#ifndef MASTICPASS_MEASURE_AT_MOST_ONCE_STORE_CALLS_H
#define MASTICPASS_MEASURE_AT_MOST_ONCE_STORE_CALLS_H

#include <cstdint>

#include "support/process_fleet.h"

namespace masticpass::measure {

struct at_most_once_options {
    double rate = 2000.0;
    int seconds = 5;
    std::uint64_t seed = 1;
};

// Sends requests that must not be repeated to one entry VM, and prints the store calls that they cause next
// to those that one write per request would take.
void measure_at_most_once_store_calls(const fleet_programs& programs, const at_most_once_options& options);

}  // namespace masticpass::measure

#endif
