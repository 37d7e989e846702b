#ifndef MASTICPASS_TESTS_DECISION_PLACEMENT_PLACEMENT_FIXTURE_H
#define MASTICPASS_TESTS_DECISION_PLACEMENT_PLACEMENT_FIXTURE_H

#include <string>

#include "decision/placement/placement_input.h"

namespace masticpass {

// Adds `count` serving VMs in a zone, each in a separate rack.
inline void add_vms(placement_pool& pool, const std::string& zone, int count) {
    for (int index = 0; index < count; ++index) {
        const auto number = std::to_string(pool.vms.size());
        pool.vms.push_back({vm_id(pool.pool.value() + "-" + number), zone_name(zone),
                            rack_name("rack-" + pool.pool.value() + number)});
    }
}

// A pool without VMs that has a sustained demand, a minimum of one VM and a budget that permits all moves of
// a round.
inline placement_pool make_pool(const std::string& name, double sustained_slots) {
    placement_pool pool{.pool = pool_name(name), .team = team_name("team"), .minimum_vms = 1};
    pool.budget.max_unavailable = 100;
    pool.sustained_slots = sustained_slots;
    return pool;
}

inline placement_pool make_spare(int vms) {
    auto pool = make_pool("spare", 0);
    pool.spare = true;
    pool.minimum_vms = 0;
    for (int index = 0; index < vms; ++index) {
        add_vms(pool, std::string(1, static_cast<char>('a' + index % 3)), 1);
    }
    return pool;
}

}  // namespace masticpass

#endif
