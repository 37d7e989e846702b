#ifndef MASTICPASS_MEASURE_CONFIGURATION_SPREAD_H
#define MASTICPASS_MEASURE_CONFIGURATION_SPREAD_H

#include <vector>

#include "support/control_cost.h"

namespace masticpass::measure {

// Prints how long a configuration change takes until it is in force in all entry VMs, both with a store that
// responds at once and with one that responds after 500 ms.
void measure_configuration_spread(const control_options& options, const std::vector<fleet_size>& sizes,
                                  int changes);

}  // namespace masticpass::measure

#endif
