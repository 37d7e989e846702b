#ifndef MASTICPASS_SETTINGS_SOCKET_ADDRESS_H
#define MASTICPASS_SETTINGS_SOCKET_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticpass {

// An IP address and a TCP port. Host names are not resolved anywhere.
struct socket_address {
    std::string ip;
    std::uint16_t port = 0;

    // The check takes the literal 0 that a defaulted comparison uses for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const socket_address&, const socket_address&) = default;
    friend bool operator==(const socket_address&, const socket_address&) = default;
};

// Reads `192.0.2.1:80` or `[2001:db8::1]:80` with a port from 1 to 65535; nullopt for any other text.
std::optional<socket_address> parse_socket_address(std::string_view text);

// The text that parse_socket_address reads.
std::string to_string(const socket_address& address);

// True for 0.0.0.0 and ::, which other processes cannot connect to.
bool is_wildcard(const socket_address& address);

}  // namespace masticpass

#endif
