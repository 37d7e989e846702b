#ifndef MASTICPASS_APPLICATION_SECTIONS_FILE_H
#define MASTICPASS_APPLICATION_SECTIONS_FILE_H

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "decision/configuration/configuration_problem.h"
#include "decision/configuration/fleet_configuration.h"

namespace masticpass {

// Loads sections from a YAML or JSON file, for example `team/dye: {quota_vms: 40}`. The paths of problems
// start with the file name.
tl::expected<fleet_configuration, configuration_problems> load_sections(const std::string& path);

// Like load_sections(), for the content of a file. `file_name` appears only in problems.
tl::expected<fleet_configuration, configuration_problems> parse_sections(std::string_view text,
                                                                         const std::string& file_name);

}  // namespace masticpass

#endif
