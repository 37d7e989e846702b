#ifndef MASTICPASS_AGENT_ENTRY_REGISTRATION_H
#define MASTICPASS_AGENT_ENTRY_REGISTRATION_H

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "common/identifier.h"

namespace masticpass {

// The record by which an entry VM is found: key `entries/<zone>/<entry>`, with address and incarnation.
// Neither `zone` nor `entry` contains a slash.
struct entry_registration {
    entry_id entry;
    zone_name zone;
    incarnation_id incarnation;
    // IP address and port for other entry VMs.
    std::string address;

    friend bool operator==(const entry_registration&, const entry_registration&) = default;
};

// The prefix of all registrations.
inline constexpr std::string_view entry_registration_prefix = "entries/";

std::string registration_key(const entry_registration& registration);
std::string registration_value(const entry_registration& registration);

// Reads a registration; the error says what is wrong with it.
tl::expected<entry_registration, std::string> parse_registration(std::string_view key,
                                                                 std::string_view value);

}  // namespace masticpass

#endif
