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

// Reads one scalar. The error says what is allowed.
template <typename T>
using value_parser = std::function<tl::expected<T, std::string>(std::string_view text)>;

// A whole number with a unit: us, ms, s, min or h. Both bounds are allowed values.
value_parser<absl::Duration> duration_parser(absl::Duration minimum, absl::Duration maximum);

// A whole number with a unit: B, KiB, MiB or GiB. Both bounds are allowed values.
value_parser<std::uint64_t> size_parser(std::uint64_t minimum, std::uint64_t maximum);

// A whole number without a unit. Both bounds are allowed values.
value_parser<std::size_t> count_parser(std::size_t minimum, std::size_t maximum);

// IP:port. A wildcard address is refused if other processes have to connect to it.
enum class wildcard { allowed, refused };
value_parser<socket_address> address_parser(wildcard rule);

// 1 to 63 characters out of a-z, A-Z, 0-9, '-', '_' and '.', starting with a letter or digit.
tl::expected<std::string, std::string> parse_name(std::string_view text);

tl::expected<log_severity, std::string> parse_log_level(std::string_view text);

}  // namespace masticpass

#endif
