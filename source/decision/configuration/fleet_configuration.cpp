#include "decision/configuration/fleet_configuration.h"

namespace masticpass {

namespace {

template <typename Map>
void add_keys(section_kind kind, const Map& sections, std::set<section_key>& keys) {
    for (const auto& [name, section] : sections) {
        keys.insert({kind, name.value()});
    }
}

template <typename Map>
void insert_or_replace(Map& target, const Map& source) {
    for (const auto& [name, section] : source) {
        target.insert_or_assign(name, section);
    }
}

}  // namespace

std::set<section_key> section_keys(const fleet_configuration& configuration) {
    std::set<section_key> keys;
    add_keys(section_kind::team, configuration.teams, keys);
    add_keys(section_kind::pool, configuration.pools, keys);
    add_keys(section_kind::service, configuration.services, keys);
    add_keys(section_kind::wave, configuration.waves, keys);
    return keys;
}

bool has_section(const fleet_configuration& configuration, const section_key& key) {
    switch (key.kind) {
        case section_kind::team:
            return configuration.teams.contains(team_name(key.name));
        case section_kind::pool:
            return configuration.pools.contains(pool_name(key.name));
        case section_kind::service:
            return configuration.services.contains(service_name(key.name));
        case section_kind::wave:
            return configuration.waves.contains(wave_name(key.name));
    }
    return false;
}

void remove_section(fleet_configuration& configuration, const section_key& key) {
    switch (key.kind) {
        case section_kind::team:
            configuration.teams.erase(team_name(key.name));
            break;
        case section_kind::pool:
            configuration.pools.erase(pool_name(key.name));
            break;
        case section_kind::service:
            configuration.services.erase(service_name(key.name));
            break;
        case section_kind::wave:
            configuration.waves.erase(wave_name(key.name));
            break;
    }
}

void set_sections(fleet_configuration& configuration, const fleet_configuration& sections) {
    insert_or_replace(configuration.teams, sections.teams);
    insert_or_replace(configuration.pools, sections.pools);
    insert_or_replace(configuration.services, sections.services);
    insert_or_replace(configuration.waves, sections.waves);
}

}  // namespace masticpass
