#ifndef MASTICPASS_MEASURE_SYNTHETIC_FLEET_H
#define MASTICPASS_MEASURE_SYNTHETIC_FLEET_H

#include <string>
#include <vector>

#include "decision/configuration/fleet_configuration.h"

namespace masticpass::measure {

// A fleet of a given size. The VMs are distributed evenly over the pools and zones, and each pool has one
// service.
struct synthetic_fleet {
    int vms = 50;
    int pools = 5;
    int zones = 3;
    // The backend server of VM number n listens on this port plus n.
    int first_backend_port = 0;

    std::string vm_name(int number) const;
    std::string pool_of(int number) const;
    std::string zone_of(int number) const;
    // The VM list in the format that the platform stand-in reads.
    std::string vm_list_json() const;
    // The whole configuration. The budget of each pool permits a tenth of its VMs, but at least one, to be
    // unavailable.
    fleet_configuration configuration() const;
};

std::string pool_name_of(int pool);
std::string zone_name_of(int zone);

}  // namespace masticpass::measure

#endif
