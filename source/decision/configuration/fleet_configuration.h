#ifndef MASTICPASS_DECISION_CONFIGURATION_FLEET_CONFIGURATION_H
#define MASTICPASS_DECISION_CONFIGURATION_FLEET_CONFIGURATION_H

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/availability_budget.h"
#include "common/identifier.h"
#include "decision/configuration/section_key.h"

namespace masticpass {

// The section `team/<name>`.
struct team_section {
    // Maximum number of VMs in all pools of the team together.
    int quota_vms = 0;

    friend bool operator==(const team_section&, const team_section&) = default;
};

// The section `pool/<name>`.
struct pool_section {
    team_name team;
    std::vector<zone_name> zones;
    int minimum_vms = 0;
    // Whether this is the spare pool, of which the fleet has at most one.
    bool spare = false;
    // Number of VMs that the spare pool reserves as the buffer of the fleet; one for every ten VMs of the
    // fleet if not set. Only the spare pool may set it.
    std::optional<int> buffer_vms;
    availability_budget budget;
    // Initial VMs, with which the record of the pool is created. Later additions and moves appear only in
    // that record.
    std::vector<vm_id> vms;
    // Whether the buffer must cover the loss of a rack or of a zone.
    bool survive_rack = true;
    bool survive_zone = false;

    friend bool operator==(const pool_section&, const pool_section&) = default;
};

// The section `service/<name>`. Each VM of the pool runs one instance of the service.
struct service_section {
    pool_name pool;
    int slots = 8;
    int connections = 64;
    bool urgent = false;
    // Maximum run time in milliseconds of a request of the short size class.
    int interactive_ms = 1000;

    friend bool operator==(const service_section&, const service_section&) = default;
};

enum class declared_wave_state { running, paused, cancelled };

// The section `wave/<name>`.
struct wave_section {
    std::vector<pool_name> pools;
    declared_wave_state state = declared_wave_state::running;

    friend bool operator==(const wave_section&, const wave_section&) = default;
};

// The sections of a declared configuration, or those that a change sets.
struct fleet_configuration {
    std::map<team_name, team_section> teams;
    std::map<pool_name, pool_section> pools;
    std::map<service_name, service_section> services;
    std::map<wave_name, wave_section> waves;

    friend bool operator==(const fleet_configuration&, const fleet_configuration&) = default;
};

std::set<section_key> section_keys(const fleet_configuration& configuration);
bool has_section(const fleet_configuration& configuration, const section_key& key);

// Does nothing if the section does not exist.
void remove_section(fleet_configuration& configuration, const section_key& key);

// Copies `sections` into the configuration; each replaces the section with the same key, if there is one.
void set_sections(fleet_configuration& configuration, const fleet_configuration& sections);

}  // namespace masticpass

#endif
