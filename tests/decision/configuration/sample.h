#ifndef MASTICPASS_DECISION_CONFIGURATION_SAMPLE_H
#define MASTICPASS_DECISION_CONFIGURATION_SAMPLE_H

#include <cstdint>
#include <string>

#include "decision/configuration/apply_change.h"

namespace masticpass {

// Returns a valid configuration with two teams, three pools (one of them the spare pool), two services and
// one wave.
inline fleet_configuration small_configuration() {
    const availability_budget budget{.max_unavailable = 2, .max_unavailable_per_zone = 1};
    fleet_configuration configuration;
    configuration.teams[team_name("dye")] = {.quota_vms = 20};
    configuration.teams[team_name("loom")] = {.quota_vms = 20};
    for (const char* name : {"dyeing", "weaving", "desk"}) {
        pool_section& pool = configuration.pools[pool_name(name)];
        pool.team = team_name(name == std::string("weaving") ? "loom" : "dye");
        pool.zones = {zone_name("a"), zone_name("b")};
        pool.minimum_vms = 2;
        pool.spare = name == std::string("desk");
        pool.budget = budget;
        for (int vm = 0; vm < 4; ++vm) {
            pool.vms.emplace_back(name + std::to_string(vm));
        }
    }
    configuration.services[service_name("dye-plan")] = {.pool = pool_name("dyeing"), .urgent = true};
    configuration.services[service_name("loom-plan")] = {.pool = pool_name("weaving"), .slots = 4};
    configuration.waves[wave_name("spring")] = {.pools = {pool_name("dyeing"), pool_name("weaving")}};
    return configuration;
}

inline configuration_change make_change(const std::string& id, std::int64_t base) {
    configuration_change change;
    change.id = change_id(id);
    change.author = "ines";
    change.base_revision = base;
    return change;
}

// Returns a change that sets the quota of one team.
inline configuration_change quota_change(const std::string& id, std::int64_t base, const std::string& team,
                                         int quota) {
    configuration_change change = make_change(id, base);
    change.set.teams[team_name(team)].quota_vms = quota;
    return change;
}

// Returns the record at revision 1 that contains small_configuration().
inline configuration_record small_record() {
    configuration_change change = make_change("initial", 0);
    change.set = small_configuration();
    return apply_change({}, change, {}, incarnation_id("one")).value().record;
}

}  // namespace masticpass

#endif
