#ifndef MASTICPASS_DECISION_CONFIGURATION_SECTION_JSON_H
#define MASTICPASS_DECISION_CONFIGURATION_SECTION_JSON_H

#include <string>

#include <json/json.h>

#include "decision/configuration/configuration_problem.h"
#include "decision/configuration/fleet_configuration.h"

namespace masticpass {

// An object with one member for each section, for example `{"team/dye": {"quota_vms": 40}}`. Members that
// have their default value are left out, which keeps the record small.
Json::Value sections_to_json(const fleet_configuration& configuration);

// Reads what sections_to_json writes. Unknown or missing members, wrong types and bad section keys are added
// to `problems`; the result is only meaningful if there are none. `path` names the object in problems. Ranges
// and references are checked by validate().
fleet_configuration sections_from_json(const Json::Value& value, const std::string& path,
                                       configuration_problems& problems);

}  // namespace masticpass

#endif
