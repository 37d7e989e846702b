#include "decision/configuration/validate.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "decision/configuration/sample.h"

namespace masticpass {

namespace {

pool_section& pool(fleet_configuration& configuration, const char* name) {
    return configuration.pools.at(pool_name(name));
}

struct invalid_configuration {
    std::string path;
    std::function<void(fleet_configuration&)> edit;
};

const std::vector<invalid_configuration> invalid_configurations = {
    {"pool/weaving.budget.max_unavailable", [](auto& c) { pool(c, "weaving").budget.max_unavailable = 0; }},
    {"pool/weaving.budget.max_unavailable_per_zone",
     [](auto& c) { pool(c, "weaving").budget.max_unavailable_per_zone = 0; }},
    {"pool/weaving.budget.max_racks_unavailable",
     [](auto& c) { pool(c, "weaving").budget.max_racks_unavailable = -1; }},
    {"pool/weaving.budget", [](auto& c) { pool(c, "weaving").minimum_vms = 6; }},
    {"pool/weaving.vms", [](auto& c) { pool(c, "weaving").vms[0] = vm_id("dyeing0"); }},
    {"pool/weaving.vms", [](auto& c) { pool(c, "weaving").vms[0] = pool(c, "weaving").vms[1]; }},
    {"pool/weaving.vms", [](auto& c) { pool(c, "weaving").vms[0] = vm_id("a/b"); }},
    {"pool/weaving.zones", [](auto& c) { pool(c, "weaving").zones.clear(); }},
    {"pool/weaving.zones", [](auto& c) { pool(c, "weaving").zones[1] = pool(c, "weaving").zones[0]; }},
    {"pool/weaving.survive_zone",
     [](auto& c) {
         pool(c, "weaving").survive_zone = true;
         pool(c, "weaving").zones.pop_back();
     }},
    {"pool/weaving.minimum_vms", [](auto& c) { pool(c, "weaving").minimum_vms = 0; }},
    {"pool/weaving.minimum_vms", [](auto& c) { pool(c, "weaving").minimum_vms = -5; }},
    {"pool/weaving.buffer_vms", [](auto& c) { pool(c, "weaving").buffer_vms = 1; }},
    {"pool/desk.buffer_vms", [](auto& c) { pool(c, "desk").buffer_vms = -1; }},
    {"pool/weaving.team", [](auto& c) { pool(c, "weaving").team = team_name("nobody"); }},
    {"pool/weaving.spare", [](auto& c) { pool(c, "weaving").spare = true; }},
    {"service/loom-plan.pool", [](auto& c) { c.services[service_name("loom-plan")].pool = pool_name("x"); }},
    {"service/loom-plan.slots", [](auto& c) { c.services[service_name("loom-plan")].slots = 0; }},
    {"service/loom-plan.connections", [](auto& c) { c.services[service_name("loom-plan")].connections = 3; }},
    {"service/loom-plan.interactive_ms",
     [](auto& c) { c.services[service_name("loom-plan")].interactive_ms = 0; }},
    {"wave/spring.pools", [](auto& c) { c.waves[wave_name("spring")].pools.clear(); }},
    {"wave/spring.pools", [](auto& c) { c.waves[wave_name("spring")].pools[0] = pool_name("x"); }},
    {"wave/spring.pools", [](auto& c) { c.waves[wave_name("spring")].pools[0] = pool_name("weaving"); }},
    {"team/loom.quota_vms", [](auto& c) { c.teams[team_name("loom")].quota_vms = 3; }},
    {"team/a b", [](auto& c) { c.teams[team_name("a b")].quota_vms = 3; }},
};

}  // namespace

TEST_CASE("a valid configuration has no problems") {
    CHECK(validate(small_configuration(), {}).empty());
    CHECK(validate({}, {}).empty());
}

// Guards against a rule that is not checked, or whose violation is reported under another path.
TEST_CASE("the problem of each invalid configuration has the path of its member") {
    for (const invalid_configuration& invalid : invalid_configurations) {
        fleet_configuration configuration = small_configuration();
        invalid.edit(configuration);
        const configuration_problems problems = validate(configuration, {});
        CAPTURE(invalid.path);
        CHECK(problems.size() == 1);
        CHECK(std::any_of(problems.begin(), problems.end(),
                          [&](const configuration_problem& one) { return one.path == invalid.path; }));
    }
}

// Guards against a quota below the number of VMs in use, and against removing a pool that still has VMs.
TEST_CASE("usage in the pool records is validated") {
    configuration_usage usage;
    usage.pool_vms = {{pool_name("dyeing"), 15}, {pool_name("desk"), 5}, {pool_name("weaving"), 4}};
    CHECK(validate(small_configuration(), usage).empty());
    usage.pool_vms[pool_name("desk")] = 6;
    CHECK(validate(small_configuration(), usage).at(0).path == "team/dye.quota_vms");
    usage.pool_vms = {{pool_name("gone"), 1}};
    CHECK(validate(small_configuration(), usage).at(0).path == "pool/gone");
}

TEST_CASE("all problems are reported") {
    fleet_configuration configuration = small_configuration();
    configuration.teams.clear();
    pool(configuration, "weaving").zones.clear();
    CHECK(validate(configuration, {}).size() == 4);
}

}  // namespace masticpass
