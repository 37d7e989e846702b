#ifndef MASTICPASS_SETTINGS_VALUE_PARSER_H
#define MASTICPASS_SETTINGS_VALUE_PARSER_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <absl/time/time.h>
#include <tl/expected.hpp>

#include "settings/socket_address.h"
#include "telemetry/log.h"

namespace masticpass {

// Parses a scalar value. The error message describes which values are valid.
template <typename T>
using value_parser = std::function<tl::expected<T, std::string>(std::string_view text)>;

// Returns a parser of a whole number with one of the units us, ms, s, min and h. The bounds are inclusive.
value_parser<absl::Duration> duration_parser(absl::Duration minimum, absl::Duration maximum);

// Returns a parser of a whole number with one of the units B, KiB, MiB and GiB. The bounds are inclusive.
value_parser<std::uint64_t> size_parser(std::uint64_t minimum, std::uint64_t maximum);

// Returns a parser of a whole number without a unit. The bounds are inclusive.
value_parser<std::size_t> count_parser(std::size_t minimum, std::size_t maximum);

// Whether wildcard addresses are valid. They are not if other processes have to connect to the address.
enum class wildcard { allowed, refused };

// Returns a parser of an IP address and port in the format of parse_socket_address().
value_parser<socket_address> address_parser(wildcard rule);

// Parses a name of 1 to 63 characters from a-z, A-Z, 0-9, '-', '_' and '.' that starts with a letter or
// digit.
tl::expected<std::string, std::string> parse_name(std::string_view text);

tl::expected<log_severity, std::string> parse_log_level(std::string_view text);

}  // namespace masticpass

#endif
