#include "settings/socket_address.h"

#include <array>
#include <charconv>
#include <system_error>
#include <utility>

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

namespace masticpass {

namespace {

bool is_ip(const std::string& text, int family) {
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    return inet_pton(family, text.c_str(), bytes.data()) == 1;
}

std::optional<std::uint16_t> parse_port(std::string_view text) {
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, port);
    if (error != std::errc() || stop != end || port == 0) {
        return std::nullopt;
    }
    return port;
}

}  // namespace

std::optional<socket_address> parse_socket_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view port_text = text.substr(colon + 1);
    const bool is_bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (is_bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = parse_port(port_text);
    if (!port) {
        return std::nullopt;
    }
    std::string ip(host);
    if (!is_ip(ip, is_bracketed ? AF_INET6 : AF_INET)) {
        return std::nullopt;
    }
    return socket_address{std::move(ip), *port};
}

std::string to_string(const socket_address& address) {
    if (address.ip.find(':') != std::string::npos) {
        return absl::StrCat("[", address.ip, "]:", address.port);
    }
    return absl::StrCat(address.ip, ":", address.port);
}

bool is_wildcard(const socket_address& address) {
    in6_addr bytes{};
    if (inet_pton(AF_INET6, address.ip.c_str(), &bytes) == 1) {
        return IN6_IS_ADDR_UNSPECIFIED(&bytes);
    }
    return address.ip == "0.0.0.0";
}

}  // namespace masticpass
