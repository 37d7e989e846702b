#ifndef MASTICPASS_DECISION_CONFIGURATION_SECTION_JSON_H
#define MASTICPASS_DECISION_CONFIGURATION_SECTION_JSON_H

#include <string>

#include <json/json.h>

#include "decision/configuration/configuration_problem.h"
#include "decision/configuration/fleet_configuration.h"

namespace masticpass {

// Returns an object with one member for each section, for example `{"team/dye": {"quota_vms": 40}}`. Optional
// members with their default value are omitted, which keeps the record small.
Json::Value sections_to_json(const fleet_configuration& configuration);

// Reads the format of sections_to_json(). Adds unknown or missing members, wrong types and invalid section
// keys to `problems`; the result is only meaningful if none are added. `path` is the path of the object in
// problems. validate() checks ranges and references.
fleet_configuration sections_from_json(const Json::Value& value, const std::string& path,
                                       configuration_problems& problems);

}  // namespace masticpass

#endif
