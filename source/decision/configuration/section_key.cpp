#include "decision/configuration/section_key.h"

#include <algorithm>
#include <array>

#include <absl/strings/ascii.h>

namespace masticpass {

namespace {

constexpr std::array<std::string_view, 4> kind_names = {"team", "pool", "service", "wave"};
constexpr std::size_t maximum_name_bytes = 63;

bool is_alphanumeric(char c) {
    return absl::ascii_isalnum(static_cast<unsigned char>(c));
}

}  // namespace

std::string_view to_string(section_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::string to_string(const section_key& key) {
    return std::string(to_string(key.kind)) + "/" + key.name;
}

std::optional<section_key> parse_section_key(std::string_view text) {
    const auto slash = text.find('/');
    if (slash == std::string_view::npos || !is_configuration_name(text.substr(slash + 1))) {
        return std::nullopt;
    }
    const auto found = std::find(kind_names.begin(), kind_names.end(), text.substr(0, slash));
    if (found == kind_names.end()) {
        return std::nullopt;
    }
    return section_key{static_cast<section_kind>(found - kind_names.begin()),
                       std::string(text.substr(slash + 1))};
}

bool is_configuration_name(std::string_view text) {
    return !text.empty() && text.size() <= maximum_name_bytes && is_alphanumeric(text.front()) &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return is_alphanumeric(c) || c == '-' || c == '_' || c == '.'; });
}

}  // namespace masticpass
