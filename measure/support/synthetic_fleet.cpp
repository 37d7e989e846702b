#include "support/synthetic_fleet.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace masticpass::measure {

namespace {

constexpr int vms_per_rack = 4;
constexpr int teams = 49;
constexpr int budget_divisor = 10;

std::string team_of(int pool) {
    return absl::StrCat("team-", pool % teams);
}

}  // namespace

std::string pool_name_of(int pool) {
    return absl::StrCat("pool-", pool);
}

std::string zone_name_of(int zone) {
    return absl::StrCat("zone-", std::string(1, static_cast<char>('a' + zone)));
}

std::string synthetic_fleet::vm_name(int number) const {
    return absl::StrCat("vm-", number);
}

std::string synthetic_fleet::pool_of(int number) const {
    return pool_name_of(number % pools);
}

std::string synthetic_fleet::zone_of(int number) const {
    return zone_name_of((number / pools) % zones);
}

std::string synthetic_fleet::vm_list_json() const {
    std::string text = "{\"vms\":[";
    for (int number = 0; number < vms; ++number) {
        absl::StrAppend(&text, number == 0 ? "" : ",", "{\"vm\":\"", vm_name(number), "\",\"zone\":\"",
                        zone_of(number), "\",\"rack\":\"rack-", zone_of(number), "-", number / vms_per_rack,
                        "\",\"address\":\"127.0.0.1:", first_backend_port + number, "\",\"pool\":\"",
                        pool_of(number), "\"}");
    }
    return text + "]}";
}

fleet_configuration synthetic_fleet::configuration() const {
    fleet_configuration result;
    for (int pool = 0; pool < pools; ++pool) {
        result.teams[team_name(team_of(pool))].quota_vms = vms;
        pool_section& section = result.pools[pool_name(pool_name_of(pool))];
        section.team = team_name(team_of(pool));
        for (int zone = 0; zone < zones; ++zone) {
            section.zones.emplace_back(zone_name_of(zone));
        }
        section.minimum_vms = 1;
        section.survive_rack = false;
        section.spare = pool == 0;
        service_section& service = result.services[service_name(absl::StrCat("service-", pool))];
        service.pool = pool_name(pool_name_of(pool));
    }
    for (int number = 0; number < vms; ++number) {
        result.pools[pool_name(pool_of(number))].vms.emplace_back(vm_name(number));
    }
    for (auto& [name, section] : result.pools) {
        section.budget.max_unavailable = std::max(1, static_cast<int>(section.vms.size()) / budget_divisor);
    }
    return result;
}

}  // namespace masticpass::measure
