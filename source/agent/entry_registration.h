#ifndef MASTICPASS_AGENT_ENTRY_REGISTRATION_H
#define MASTICPASS_AGENT_ENTRY_REGISTRATION_H

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "common/identifier.h"

namespace masticpass {

// The record by which other entry VMs find an entry VM. Its key is `entries/<zone>/<entry>`, its value
// contains the address and the incarnation. Neither `zone` nor `entry` contains a slash.
struct entry_registration {
    entry_id entry;
    zone_name zone;
    incarnation_id incarnation;
    // IP address and port at which other entry VMs reach this one.
    std::string address;

    friend bool operator==(const entry_registration&, const entry_registration&) = default;
};

// The prefix of the keys of all registrations.
inline constexpr std::string_view entry_registration_prefix = "entries/";

std::string registration_key(const entry_registration& registration);
std::string registration_value(const entry_registration& registration);

// Parses a registration. The error says why the key or the value is invalid.
tl::expected<entry_registration, std::string> parse_registration(std::string_view key,
                                                                 std::string_view value);

}  // namespace masticpass

#endif
