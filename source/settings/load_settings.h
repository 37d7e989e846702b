#ifndef MASTICPASS_SETTINGS_LOAD_SETTINGS_H
#define MASTICPASS_SETTINGS_LOAD_SETTINGS_H

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "settings/settings.h"
#include "settings/settings_error.h"

namespace masticpass {

// Reads and checks a settings file. The error lists all problems, not only the first one.
tl::expected<settings, settings_errors> load_settings(const std::string& path);

// Parses and checks settings in YAML. `file_name` appears only in errors.
tl::expected<settings, settings_errors> parse_settings(std::string_view text, const std::string& file_name);

}  // namespace masticpass

#endif
