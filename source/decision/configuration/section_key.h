#ifndef MASTICPASS_DECISION_CONFIGURATION_SECTION_KEY_H
#define MASTICPASS_DECISION_CONFIGURATION_SECTION_KEY_H

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace masticpass {

enum class section_kind { team, pool, service, wave };

// Identifies one section of the configuration, for example `pool/weaving`. A section is the smallest unit
// that a change sets or removes.
struct section_key {
    section_kind kind = section_kind::team;
    std::string name;

    // False positive: clang-tidy mistakes the literal 0 in a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const section_key&, const section_key&) = default;
    friend bool operator==(const section_key&, const section_key&) = default;
};

std::string_view to_string(section_kind kind);
std::string to_string(const section_key& key);

// Parses `<kind>/<name>`. Returns nullopt if the kind is unknown or is_configuration_name() rejects the name.
std::optional<section_key> parse_section_key(std::string_view text);

// Returns whether the text has 1 to 63 characters from a-z, A-Z, 0-9, '-', '_' and '.' and starts with a
// letter or digit. Names become part of store keys and of status page URLs.
bool is_configuration_name(std::string_view text);

}  // namespace masticpass

#endif
