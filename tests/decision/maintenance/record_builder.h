#ifndef MASTICPASS_TESTS_DECISION_MAINTENANCE_RECORD_BUILDER_H
#define MASTICPASS_TESTS_DECISION_MAINTENANCE_RECORD_BUILDER_H

#include <string>

#include "decision/maintenance/transition.h"

namespace masticpass {

inline const absl::Time test_now = absl::FromUnixSeconds(1'700'000'000);

// A pool of serving VMs v0, v1, ... that are spread over zones z0, z1, ... and, within each zone, over racks
// of `per_rack` VMs.
inline pool_record make_pool(const std::string& name, int vm_count, int zones = 1, int per_rack = 4) {
    pool_record record;
    record.pool = pool_name(name);
    for (int index = 0; index < vm_count; ++index) {
        pool_vm& vm = record.vms[vm_id("v" + std::to_string(index))];
        const int zone = index % zones;
        vm.zone = zone_name("z" + std::to_string(zone));
        vm.rack = rack_name(vm.zone.value() + "r" + std::to_string(index / zones / per_rack));
        vm.maintained_at = test_now - absl::Hours(24);
    }
    return record;
}

inline operation_context make_context(const std::string& operation) {
    return {operation_id(operation), incarnation_id("i1"), test_now};
}

}  // namespace masticpass

#endif
