#include "decision/configuration/section_json.h"

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include <absl/strings/str_cat.h>

#include "decision/configuration/json_object_reader.h"

namespace masticpass {

namespace {

constexpr std::array<const char*, 3> wave_state_names = {"running", "paused", "cancelled"};

struct budget_member {
    const char* name;
    std::optional<int> availability_budget::*limit;
};

constexpr std::array<budget_member, 4> budget_members = {{
    {"max_unavailable_per_zone", &availability_budget::max_unavailable_per_zone},
    {"max_unavailable_per_rack", &availability_budget::max_unavailable_per_rack},
    {"max_zones_unavailable", &availability_budget::max_zones_unavailable},
    {"max_racks_unavailable", &availability_budget::max_racks_unavailable},
}};

template <typename T>
void set_unless_default(Json::Value& object, const char* name, const T& value, const T& default_value) {
    if (value != default_value) {
        object[name] = value;
    }
}

Json::Value to_json(const team_section& team) {
    Json::Value object(Json::objectValue);
    object["quota_vms"] = team.quota_vms;
    return object;
}

Json::Value to_json(const availability_budget& budget) {
    Json::Value object(Json::objectValue);
    object["max_unavailable"] = budget.max_unavailable;
    for (const budget_member& member : budget_members) {
        if (const auto& limit = budget.*member.limit) {
            object[member.name] = *limit;
        }
    }
    return object;
}

Json::Value to_json(const pool_section& pool) {
    const pool_section defaults;
    Json::Value object(Json::objectValue);
    object["team"] = pool.team.value();
    object["zones"] = to_json_array(pool.zones);
    object["minimum_vms"] = pool.minimum_vms;
    object["budget"] = to_json(pool.budget);
    set_unless_default(object, "spare", pool.spare, defaults.spare);
    set_unless_default(object, "survive_rack", pool.survive_rack, defaults.survive_rack);
    set_unless_default(object, "survive_zone", pool.survive_zone, defaults.survive_zone);
    if (pool.buffer_vms) {
        object["buffer_vms"] = *pool.buffer_vms;
    }
    if (!pool.vms.empty()) {
        object["vms"] = to_json_array(pool.vms);
    }
    return object;
}

Json::Value to_json(const service_section& service) {
    const service_section defaults;
    Json::Value object(Json::objectValue);
    object["pool"] = service.pool.value();
    set_unless_default(object, "slots", service.slots, defaults.slots);
    set_unless_default(object, "connections", service.connections, defaults.connections);
    set_unless_default(object, "urgent", service.urgent, defaults.urgent);
    set_unless_default(object, "interactive_ms", service.interactive_ms, defaults.interactive_ms);
    return object;
}

Json::Value to_json(const wave_section& wave) {
    Json::Value object(Json::objectValue);
    object["pools"] = to_json_array(wave.pools);
    object["state"] = wave_state_names.at(static_cast<std::size_t>(wave.state));
    return object;
}

template <typename Map>
void add_sections(section_kind kind, const Map& sections, Json::Value& object) {
    for (const auto& [name, section] : sections) {
        object[to_string(section_key{kind, name.value()})] = to_json(section);
    }
}

void require_all(json_object_reader& reader, std::initializer_list<const char*> names) {
    for (const char* name : names) {
        reader.require(name);
    }
}

team_section read_team(json_object_reader& reader) {
    team_section team;
    require_all(reader, {"quota_vms"});
    assign_if(team.quota_vms, reader.integer("quota_vms"));
    return team;
}

availability_budget read_budget(json_object_reader reader) {
    availability_budget budget;
    require_all(reader, {"max_unavailable"});
    assign_if(budget.max_unavailable, reader.integer("max_unavailable"));
    for (const budget_member& member : budget_members) {
        budget.*member.limit = reader.integer(member.name);
    }
    reader.report_unknown_members();
    return budget;
}

pool_section read_pool(json_object_reader& reader, configuration_problems& problems) {
    pool_section pool;
    require_all(reader, {"team", "zones", "minimum_vms"});
    assign_if(pool.team, reader.text("team"));
    pool.zones = to_identifiers<zone_name>(reader.texts("zones").value_or(std::vector<std::string>()));
    assign_if(pool.minimum_vms, reader.integer("minimum_vms"));
    if (const Json::Value* budget = reader.require("budget")) {
        pool.budget = read_budget({*budget, reader.path_of("budget"), problems});
    }
    assign_if(pool.spare, reader.boolean("spare"));
    pool.buffer_vms = reader.integer("buffer_vms");
    assign_if(pool.survive_rack, reader.boolean("survive_rack"));
    assign_if(pool.survive_zone, reader.boolean("survive_zone"));
    pool.vms = to_identifiers<vm_id>(reader.texts("vms").value_or(std::vector<std::string>()));
    return pool;
}

service_section read_service(json_object_reader& reader) {
    service_section service;
    require_all(reader, {"pool"});
    assign_if(service.pool, reader.text("pool"));
    assign_if(service.slots, reader.integer("slots"));
    assign_if(service.connections, reader.integer("connections"));
    assign_if(service.urgent, reader.boolean("urgent"));
    assign_if(service.interactive_ms, reader.integer("interactive_ms"));
    return service;
}

wave_section read_wave(json_object_reader& reader) {
    wave_section wave;
    require_all(reader, {"pools", "state"});
    wave.pools = to_identifiers<pool_name>(reader.texts("pools").value_or(std::vector<std::string>()));
    const auto state = reader.text("state");
    for (std::size_t index = 0; index < wave_state_names.size(); ++index) {
        if (state == wave_state_names.at(index)) {
            wave.state = static_cast<declared_wave_state>(index);
            return wave;
        }
    }
    if (state) {
        reader.report("state", "expected running, paused or cancelled");
    }
    return wave;
}

void read_section(const section_key& key, const Json::Value& value, const std::string& path,
                  configuration_problems& problems, fleet_configuration& result) {
    json_object_reader reader(value, path, problems);
    switch (key.kind) {
        case section_kind::team:
            result.teams[team_name(key.name)] = read_team(reader);
            break;
        case section_kind::pool:
            result.pools[pool_name(key.name)] = read_pool(reader, problems);
            break;
        case section_kind::service:
            result.services[service_name(key.name)] = read_service(reader);
            break;
        case section_kind::wave:
            result.waves[wave_name(key.name)] = read_wave(reader);
            break;
    }
    reader.report_unknown_members();
}

}  // namespace

Json::Value sections_to_json(const fleet_configuration& configuration) {
    Json::Value object(Json::objectValue);
    add_sections(section_kind::team, configuration.teams, object);
    add_sections(section_kind::pool, configuration.pools, object);
    add_sections(section_kind::service, configuration.services, object);
    add_sections(section_kind::wave, configuration.waves, object);
    return object;
}

fleet_configuration sections_from_json(const Json::Value& value, const std::string& path,
                                       configuration_problems& problems) {
    fleet_configuration result;
    if (!value.isObject()) {
        problems.push_back({path, "expected an object with one member for each section"});
        return result;
    }
    for (const std::string& name : value.getMemberNames()) {
        const std::string section_path = path.empty() ? name : absl::StrCat(path, ".", name);
        const auto key = parse_section_key(name);
        if (!key) {
            problems.push_back(
                {section_path,
                 "expected team/, pool/, service/ or wave/ and a name of 1 to 63 letters, digits, "
                 "'-', '_' or '.'"});
            continue;
        }
        read_section(*key, value[name], section_path, problems, result);
    }
    return result;
}

}  // namespace masticpass
