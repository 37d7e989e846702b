#ifndef MASTICPASS_DECISION_CONFIGURATION_SECTION_KEY_H
#define MASTICPASS_DECISION_CONFIGURATION_SECTION_KEY_H

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace masticpass {

enum class section_kind { team, pool, service, wave };

// Names one section of the configuration, for example `pool/weaving`. A change sets or removes whole
// sections.
struct section_key {
    section_kind kind = section_kind::team;
    std::string name;

    // The check takes the literal 0 that a defaulted comparison uses for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const section_key&, const section_key&) = default;
    friend bool operator==(const section_key&, const section_key&) = default;
};

std::string_view to_string(section_kind kind);
std::string to_string(const section_key& key);

// Reads `<kind>/<name>`; nullopt for an unknown kind or a name that is_configuration_name refuses.
std::optional<section_key> parse_section_key(std::string_view text);

// 1 to 63 characters out of a-z, A-Z, 0-9, '-', '_' and '.', starting with a letter or digit. Names become
// parts of store keys and of addresses of status pages.
bool is_configuration_name(std::string_view text);

}  // namespace masticpass

#endif
