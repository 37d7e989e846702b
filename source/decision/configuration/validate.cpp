#include "decision/configuration/validate.h"

#include <set>
#include <string>
#include <utility>

#include <absl/strings/str_cat.h>

#include "decision/configuration/pool_rules.h"

namespace masticpass {

namespace {

constexpr int maximum_quota_vms = 1000000;
constexpr int maximum_slots = 1024;
constexpr int maximum_connections = 65536;
constexpr int maximum_interactive_ms = 24 * 3600 * 1000;

void check_names(const fleet_configuration& configuration, configuration_problems& problems) {
    for (const section_key& key : section_keys(configuration)) {
        if (!is_configuration_name(key.name)) {
            problems.push_back(
                {to_string(key), "expected a name of 1 to 63 letters, digits, '-', '_' or '.'"});
        }
    }
}

void check_team(const team_name& name, const fleet_configuration& configuration,
                const configuration_usage& usage, configuration_problems& problems) {
    const int quota = configuration.teams.at(name).quota_vms;
    const std::string path = "team/" + name.value() + ".quota_vms";
    check_range(path, quota, 1, maximum_quota_vms, problems);
    std::int64_t in_use = 0;
    std::int64_t minimum = 0;
    std::int64_t initial = 0;
    for (const auto& [pool_key, pool] : configuration.pools) {
        if (pool.team == name) {
            const auto found = usage.pool_vms.find(pool_key);
            in_use += found == usage.pool_vms.end() ? 0 : found->second;
            minimum += pool.minimum_vms;
            initial += static_cast<std::int64_t>(pool.vms.size());
        }
    }
    for (const auto& [count, meaning] : {std::pair{in_use, "VMs in use"}, std::pair{initial, "initial VMs"},
                                         std::pair{minimum, "VMs as the sum of minimum_vms"}}) {
        if (quota < count) {
            problems.push_back({path, absl::StrCat("is ", quota, ", below the ", count, " ", meaning)});
        }
    }
}

void check_service(const service_name& name, const service_section& service,
                   const fleet_configuration& configuration, configuration_problems& problems) {
    const std::string path = "service/" + name.value();
    if (!configuration.pools.contains(service.pool)) {
        problems.push_back({path + ".pool", "names the unknown pool '" + service.pool.value() + "'"});
    }
    check_range(path + ".slots", service.slots, 1, maximum_slots, problems);
    check_range(path + ".connections", service.connections, 1, maximum_connections, problems);
    if (service.connections < service.slots) {
        problems.push_back({path + ".connections", "expected at least one connection for each slot"});
    }
    check_range(path + ".interactive_ms", service.interactive_ms, 1, maximum_interactive_ms, problems);
}

void check_wave(const wave_name& name, const wave_section& wave, const fleet_configuration& configuration,
                configuration_problems& problems) {
    const std::string path = "wave/" + name.value() + ".pools";
    if (wave.pools.empty()) {
        problems.push_back({path, "expected at least one pool"});
    }
    std::set<pool_name> seen;
    for (const pool_name& pool : wave.pools) {
        if (!seen.insert(pool).second) {
            problems.push_back({path, "names the pool '" + pool.value() + "' twice"});
        } else if (!configuration.pools.contains(pool)) {
            problems.push_back({path, "names the unknown pool '" + pool.value() + "'"});
        }
    }
}

void check_vms_in_one_pool(const fleet_configuration& configuration, configuration_problems& problems) {
    std::map<vm_id, pool_name> owners;
    for (const auto& [name, pool] : configuration.pools) {
        for (const vm_id& vm : pool.vms) {
            const auto [owner, is_new] = owners.emplace(vm, name);
            // check_pool() reports a VM that the same pool lists twice.
            if (!is_new && owner->second != name) {
                problems.push_back(
                    {"pool/" + name.value() + ".vms",
                     "VM '" + vm.value() + "' is already in pool '" + owner->second.value() + "'"});
            }
        }
    }
}

void check_one_spare_pool(const fleet_configuration& configuration, configuration_problems& problems) {
    const pool_name* spare = nullptr;
    for (const auto& [name, pool] : configuration.pools) {
        if (pool.spare && spare != nullptr) {
            problems.push_back(
                {"pool/" + name.value() + ".spare", "pool '" + spare->value() + "' is the spare pool"});
        } else if (pool.spare) {
            spare = &name;
        }
    }
}

void check_used_pools_exist(const fleet_configuration& configuration, const configuration_usage& usage,
                            configuration_problems& problems) {
    for (const auto& [name, vms] : usage.pool_vms) {
        if (vms > 0 && !configuration.pools.contains(name)) {
            problems.push_back(
                {"pool/" + name.value(), absl::StrCat("cannot be removed, as it has ", vms, " VMs")});
        }
    }
}

}  // namespace

configuration_problems validate(const fleet_configuration& configuration, const configuration_usage& usage) {
    configuration_problems problems;
    check_names(configuration, problems);
    for (const auto& [name, team] : configuration.teams) {
        check_team(name, configuration, usage, problems);
    }
    for (const auto& [name, pool] : configuration.pools) {
        check_pool(name, configuration, usage, problems);
    }
    for (const auto& [name, service] : configuration.services) {
        check_service(name, service, configuration, problems);
    }
    for (const auto& [name, wave] : configuration.waves) {
        check_wave(name, wave, configuration, problems);
    }
    check_vms_in_one_pool(configuration, problems);
    check_one_spare_pool(configuration, problems);
    check_used_pools_exist(configuration, usage, problems);
    return problems;
}

}  // namespace masticpass
