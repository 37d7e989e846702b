#ifndef MASTICPASS_MEASURE_FLEET_CHANGES_H
#define MASTICPASS_MEASURE_FLEET_CHANGES_H

#include <absl/time/time.h>

#include "support/process_fleet.h"

namespace masticpass::measure {

struct change_counts {
    int proposed = 0;
    int accepted = 0;
    int drains_requested = 0;
    int drains_started = 0;
};

// Makes configuration changes and drains VMs for the duration, at `factor` times the rate expected in two
// years. That rate is 3,700 configuration changes and 2,400 writes of pool records a day. Each drain writes a
// pool record three times, so there are 800 drains a day.
change_counts make_changes(const process_fleet& processes, int vms, double factor, absl::Duration duration);

}  // namespace masticpass::measure

#endif
