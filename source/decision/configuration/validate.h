#ifndef MASTICPASS_DECISION_CONFIGURATION_VALIDATE_H
#define MASTICPASS_DECISION_CONFIGURATION_VALIDATE_H

#include <map>

#include "decision/configuration/configuration_problem.h"
#include "decision/configuration/fleet_configuration.h"

namespace masticpass {

// Usage according to the pool records. A pool without an entry has no record yet.
struct configuration_usage {
    // Number of VMs that count towards the size of each pool.
    std::map<pool_name, int> pool_vms;
};

// Returns all problems of the configuration, in a fixed order; empty if it is valid. These are problems:
//  - a name, number or list that is out of range;
//  - a reference to an unknown team, pool or service;
//  - a VM in the initial lists of two pools, a pool without a zone, or more than one spare pool;
//  - a budget that no wave can satisfy: a limit below one, or so many VMs missing below `minimum_vms` that
//    they use up the budget;
//  - a quota below the number of VMs in use, the number of initial VMs or the sum of `minimum_vms` of the
//    pools of the team;
//  - VMs in use by a pool that is not declared.
configuration_problems validate(const fleet_configuration& configuration, const configuration_usage& usage);

}  // namespace masticpass

#endif
