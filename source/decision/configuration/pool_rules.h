#ifndef MASTICPASS_DECISION_CONFIGURATION_POOL_RULES_H
#define MASTICPASS_DECISION_CONFIGURATION_POOL_RULES_H

#include <string>

#include "decision/configuration/validate.h"

namespace masticpass {

// Adds a problem if the value is below `minimum` or above `maximum`.
void check_range(const std::string& path, int value, int minimum, int maximum,
                 configuration_problems& problems);

// Adds the problems of one pool section, including its budget. validate() checks the rules that involve
// several pools.
void check_pool(const pool_name& name, const fleet_configuration& configuration,
                const configuration_usage& usage, configuration_problems& problems);

}  // namespace masticpass

#endif
