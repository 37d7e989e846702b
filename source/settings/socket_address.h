#ifndef MASTICPASS_SETTINGS_SOCKET_ADDRESS_H
#define MASTICPASS_SETTINGS_SOCKET_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticpass {

// An IP address and a TCP port. Host names are not supported.
struct socket_address {
    std::string ip;
    std::uint16_t port = 0;

    // False positive: clang-tidy mistakes the literal 0 in a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const socket_address&, const socket_address&) = default;
    friend bool operator==(const socket_address&, const socket_address&) = default;
};

// Parses `192.0.2.1:80` or `[2001:db8::1]:80` with a port from 1 to 65535. Returns nullopt for any other
// text.
std::optional<socket_address> parse_socket_address(std::string_view text);

// Returns the address in the format that parse_socket_address() reads.
std::string to_string(const socket_address& address);

// Returns whether the address is 0.0.0.0 or ::, to which other processes cannot connect.
bool is_wildcard(const socket_address& address);

}  // namespace masticpass

#endif
