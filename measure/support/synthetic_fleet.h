#ifndef MASTICPASS_MEASURE_SYNTHETIC_FLEET_H
#define MASTICPASS_MEASURE_SYNTHETIC_FLEET_H

#include <string>
#include <vector>

#include "decision/configuration/fleet_configuration.h"

namespace masticpass::measure {

// A fleet of a given size: pools of equal sizes over the zones, one service for each pool.
struct synthetic_fleet {
    int vms = 50;
    int pools = 5;
    int zones = 3;
    // The backend server of VM number n listens on this port plus n.
    int first_backend_port = 0;

    std::string vm_name(int number) const;
    std::string pool_of(int number) const;
    std::string zone_of(int number) const;
    // The VM list as the platform stand-in reads it.
    std::string vm_list_json() const;
    // All sections. Each pool's budget lets a tenth of its VMs, but at least one, be unavailable.
    fleet_configuration configuration() const;
};

std::string pool_name_of(int pool);
std::string zone_name_of(int zone);

}  // namespace masticpass::measure

#endif
