#ifndef MASTICPASS_DECISION_CONFIGURATION_CONFIGURATION_CHANGE_H
#define MASTICPASS_DECISION_CONFIGURATION_CONFIGURATION_CHANGE_H

#include <cstdint>
#include <set>
#include <string>

#include <json/json.h>
#include <tl/expected.hpp>

#include "common/identifier.h"
#include "decision/configuration/configuration_problem.h"
#include "decision/configuration/fleet_configuration.h"

namespace masticpass {

// A proposed change of the configuration, which sets or removes whole sections.
struct configuration_change {
    // Identifies the change, so that proposing it again after a lost response has no second effect.
    change_id id;
    std::string author;
    // The revision that the author has seen and based the change on. The change conflicts with later changes
    // of its sections.
    std::int64_t base_revision = 0;
    // Sections to add or replace.
    fleet_configuration set;
    // Sections to remove.
    std::set<section_key> removed;
};

// Returns the keys of all sections that the change sets or removes.
std::set<section_key> touched_sections(const configuration_change& change);

// Returns an object with the members change, author, base_revision, set and remove.
Json::Value to_json(const configuration_change& change);

// Reads the format of to_json(); `set` and `remove` are optional. Returns all problems if members are unknown
// or missing, types are wrong or section keys are invalid.
tl::expected<configuration_change, configuration_problems> configuration_change_from_json(
    const Json::Value& value);

}  // namespace masticpass

#endif
