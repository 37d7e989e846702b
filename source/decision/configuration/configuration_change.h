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

// A proposed change of the configuration.
struct configuration_change {
    // Names the change, so that it can be proposed again after a lost response without a second effect.
    change_id id;
    std::string author;
    // The revision that the author has seen.
    std::int64_t base_revision = 0;
    // Sections to add or replace.
    fleet_configuration set;
    std::set<section_key> removed;
};

// All sections that the change sets or removes.
std::set<section_key> touched_sections(const configuration_change& change);

// An object with the members change, author, base_revision, set and remove.
Json::Value to_json(const configuration_change& change);

// Reads what to_json() writes; `set` or `remove` may be missing. Unknown members, wrong types and bad names
// are refused with all reasons.
tl::expected<configuration_change, configuration_problems> configuration_change_from_json(
    const Json::Value& value);

}  // namespace masticpass

#endif
