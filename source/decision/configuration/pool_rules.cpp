#include "decision/configuration/pool_rules.h"

#include <optional>
#include <set>

#include <absl/strings/str_cat.h>

namespace masticpass {

namespace {

constexpr int maximum_pool_vms = 100000;

template <typename Identifier>
void check_names(const std::string& path, const std::vector<Identifier>& names, const char* kind,
                 configuration_problems& problems) {
    std::set<std::string> seen;
    for (const Identifier& name : names) {
        if (!is_configuration_name(name.value())) {
            problems.push_back({path, absl::StrCat("'", name.value(), "' is no ", kind,
                                                   ": expected 1 to 63 letters, digits, '-', '_' or '.'")});
        } else if (!seen.insert(name.value()).second) {
            problems.push_back({path, absl::StrCat("names the ", kind, " '", name.value(), "' twice")});
        }
    }
}

void check_budget(const std::string& path, const availability_budget& budget,
                  configuration_problems& problems) {
    check_range(path + ".max_unavailable", budget.max_unavailable, 1, maximum_pool_vms, problems);
    const auto check_limit = [&](const char* name, const std::optional<int>& limit) {
        if (limit) {
            check_range(path + "." + name, *limit, 1, maximum_pool_vms, problems);
        }
    };
    check_limit("max_unavailable_per_zone", budget.max_unavailable_per_zone);
    check_limit("max_unavailable_per_rack", budget.max_unavailable_per_rack);
    check_limit("max_zones_unavailable", budget.max_zones_unavailable);
    check_limit("max_racks_unavailable", budget.max_racks_unavailable);
}

// Returns the number of VMs in the record of the pool or, before the record exists, the number of initial
// VMs; nullopt if neither is known.
std::optional<int> known_size(const pool_name& name, const pool_section& pool,
                              const configuration_usage& usage) {
    const auto found = usage.pool_vms.find(name);
    if (found != usage.pool_vms.end()) {
        return found->second;
    }
    return pool.vms.empty() ? std::nullopt : std::optional<int>(static_cast<int>(pool.vms.size()));
}

// VMs missing below minimum_vms count as unavailable. If they alone use up the budget, maintenance can never
// start.
void check_budget_is_satisfiable(const std::string& path, const pool_section& pool, std::optional<int> size,
                                 configuration_problems& problems) {
    if (size && *size < pool.minimum_vms && pool.minimum_vms - *size >= pool.budget.max_unavailable) {
        problems.push_back(
            {path + ".budget",
             absl::StrCat("no wave can satisfy it: the pool has ", *size, " VMs, minimum_vms is ",
                          pool.minimum_vms, ", and max_unavailable is ", pool.budget.max_unavailable)});
    }
}

}  // namespace

void check_range(const std::string& path, int value, int minimum, int maximum,
                 configuration_problems& problems) {
    if (value < minimum || value > maximum) {
        problems.push_back({path, absl::StrCat("is ", value, "; expected ", minimum, " to ", maximum)});
    }
}

void check_pool(const pool_name& name, const fleet_configuration& configuration,
                const configuration_usage& usage, configuration_problems& problems) {
    const pool_section& pool = configuration.pools.at(name);
    const std::string path = "pool/" + name.value();
    if (!configuration.teams.contains(pool.team)) {
        problems.push_back({path + ".team", "names the unknown team '" + pool.team.value() + "'"});
    }
    if (pool.zones.empty()) {
        problems.push_back({path + ".zones", "expected at least one zone"});
    }
    check_names(path + ".zones", pool.zones, "zone", problems);
    check_names(path + ".vms", pool.vms, "VM", problems);
    // The spare pool may become empty, as other pools take its VMs.
    check_range(path + ".minimum_vms", pool.minimum_vms, pool.spare ? 0 : 1, maximum_pool_vms, problems);
    if (pool.buffer_vms && !pool.spare) {
        problems.push_back({path + ".buffer_vms", "expected only on the spare pool"});
    }
    check_range(path + ".buffer_vms", pool.buffer_vms.value_or(0), 0, maximum_pool_vms, problems);
    check_budget(path + ".budget", pool.budget, problems);
    check_budget_is_satisfiable(path, pool, known_size(name, pool, usage), problems);
    if (pool.survive_zone && pool.zones.size() == 1) {
        problems.push_back({path + ".survive_zone", "expected at least two zones"});
    }
}

}  // namespace masticpass
