#ifndef MASTICPASS_DECISION_CONFIGURATION_VALIDATE_H
#define MASTICPASS_DECISION_CONFIGURATION_VALIDATE_H

#include <map>

#include "decision/configuration/configuration_problem.h"
#include "decision/configuration/fleet_configuration.h"

namespace masticpass {

// What the pool records say. A pool without an entry has no record yet.
struct configuration_usage {
    // Number of VMs that are part of each pool's size.
    std::map<pool_name, int> pool_vms;
};

// All reasons to refuse the configuration; empty if it is valid:
//  - a name, number or list that is out of range;
//  - a reference to an unknown team, pool or service;
//  - a VM in the initial list of two pools, a pool without zone, more than one spare pool;
//  - a budget that no wave can satisfy: a limit below one, or so few VMs below `minimum_vms` that the missing
//  ones
//    use up the budget;
//  - a quota below the VMs in use, the initial VMs or the sum of `minimum_vms` of the team's pools;
//  - VMs in use by a pool that is not declared.
// The reasons come in a fixed order.
configuration_problems validate(const fleet_configuration& configuration, const configuration_usage& usage);

}  // namespace masticpass

#endif
