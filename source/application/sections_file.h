#ifndef MASTICPASS_APPLICATION_SECTIONS_FILE_H
#define MASTICPASS_APPLICATION_SECTIONS_FILE_H

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "decision/configuration/configuration_problem.h"
#include "decision/configuration/fleet_configuration.h"

namespace masticpass {

// Reads sections from a YAML or JSON file, for example `team/dye: {quota_vms: 40}`. Paths in problems start
// with the file name.
tl::expected<fleet_configuration, configuration_problems> load_sections(const std::string& path);

// As load_sections; `file_name` is only used in problems.
tl::expected<fleet_configuration, configuration_problems> parse_sections(std::string_view text,
                                                                         const std::string& file_name);

}  // namespace masticpass

#endif
