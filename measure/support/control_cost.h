#ifndef MASTICPASS_MEASURE_CONTROL_COST_H
#define MASTICPASS_MEASURE_CONTROL_COST_H

#include <string>
#include <vector>

#include "support/process_fleet.h"

namespace masticpass::measure {

struct fleet_size {
    int vms = 50;
    int pools = 5;
};

struct control_options {
    fleet_programs programs;
    int entries = 9;
    int seconds = 15;
    // Rate of changes as a multiple of the rate expected in two years.
    double change_factor = 40.0;
};

// Parses sizes of the form VMs:pools. Throws std::runtime_error for any other text.
std::vector<fleet_size> parse_sizes(const std::vector<std::string>& texts);

// Prints the control cost of an entry VM and the calls to the platform for each fleet size: without changes,
// at `change_factor` times the two-year rate of changes, and computed from both for the two-year rate itself.
void measure_control_cost(const control_options& options, const std::vector<fleet_size>& sizes);

}  // namespace masticpass::measure

#endif
