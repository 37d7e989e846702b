#include "settings/value_parser.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <system_error>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

namespace masticpass {

namespace {

struct unit_definition {
    std::string_view name;
    std::uint64_t factor;
};

// The factors convert to microseconds.
constexpr std::array<unit_definition, 5> duration_units = {
    {{"us", 1}, {"ms", 1000}, {"s", 1000000}, {"min", 60000000}, {"h", 3600000000}}};

constexpr std::array<unit_definition, 4> size_units = {
    {{"B", 1}, {"KiB", 1ULL << 10}, {"MiB", 1ULL << 20}, {"GiB", 1ULL << 30}}};

std::optional<std::uint64_t> parse_whole_number(std::string_view text) {
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return number;
}

// Returns the number multiplied by the factor of its unit; nullopt if the unit is missing or unknown, or on
// overflow.
template <std::size_t Size>
std::optional<std::uint64_t> parse_with_unit(const std::array<unit_definition, Size>& units,
                                             std::string_view text) {
    const auto digits = std::find_if_not(text.begin(), text.end(), absl::ascii_isdigit) - text.begin();
    const auto number = parse_whole_number(text.substr(0, digits));
    const auto found = std::find_if(units.begin(), units.end(), [&](const unit_definition& unit) {
        return unit.name == text.substr(digits);
    });
    if (!number || found == units.end() ||
        *number > std::numeric_limits<std::int64_t>::max() / found->factor) {
        return std::nullopt;
    }
    return *number * found->factor;
}

// Formats the value with the largest unit that divides it.
template <std::size_t Size>
std::string format_with_unit(const std::array<unit_definition, Size>& units, std::uint64_t value) {
    std::size_t index = 0;
    while (value != 0 && index + 1 < Size && value % units.at(index + 1).factor == 0) {
        ++index;
    }
    return std::to_string(value / units.at(index).factor) + std::string(units.at(index).name);
}

template <std::size_t Size>
std::string unit_names(const std::array<unit_definition, Size>& units) {
    std::string names;
    for (const unit_definition& unit : units) {
        names.append(names.empty() ? "" : ", ").append(unit.name);
    }
    return names;
}

}  // namespace

value_parser<absl::Duration> duration_parser(absl::Duration minimum, absl::Duration maximum) {
    const auto minimum_us = static_cast<std::uint64_t>(absl::ToInt64Microseconds(minimum));
    const auto maximum_us = static_cast<std::uint64_t>(absl::ToInt64Microseconds(maximum));
    return [minimum_us, maximum_us](std::string_view text) -> tl::expected<absl::Duration, std::string> {
        const auto value = parse_with_unit(duration_units, text);
        if (!value || *value < minimum_us || *value > maximum_us) {
            return tl::unexpected(
                absl::StrCat("expected a duration from ", format_with_unit(duration_units, minimum_us),
                             " to ", format_with_unit(duration_units, maximum_us),
                             ", a whole number with one of the units ", unit_names(duration_units)));
        }
        return absl::Microseconds(static_cast<std::int64_t>(*value));
    };
}

value_parser<std::uint64_t> size_parser(std::uint64_t minimum, std::uint64_t maximum) {
    return [minimum, maximum](std::string_view text) -> tl::expected<std::uint64_t, std::string> {
        const auto value = parse_with_unit(size_units, text);
        if (!value || *value < minimum || *value > maximum) {
            return tl::unexpected(absl::StrCat("expected a size from ", format_with_unit(size_units, minimum),
                                               " to ", format_with_unit(size_units, maximum),
                                               ", a whole number with one of the units ",
                                               unit_names(size_units)));
        }
        return *value;
    };
}

value_parser<std::size_t> count_parser(std::size_t minimum, std::size_t maximum) {
    return [minimum, maximum](std::string_view text) -> tl::expected<std::size_t, std::string> {
        const auto value = parse_whole_number(text);
        if (!value || *value < minimum || *value > maximum) {
            return tl::unexpected(
                absl::StrCat("expected a whole number from ", minimum, " to ", maximum, " without a unit"));
        }
        return static_cast<std::size_t>(*value);
    };
}

value_parser<socket_address> address_parser(wildcard rule) {
    return [rule](std::string_view text) -> tl::expected<socket_address, std::string> {
        auto address = parse_socket_address(text);
        if (!address) {
            return tl::unexpected(
                std::string("expected an IP address and a port from 1 to 65535, for example 192.0.2.1:8080 "
                            "or [2001:db8::1]:8080"));
        }
        if (rule == wildcard::refused && is_wildcard(*address)) {
            return tl::unexpected(std::string(
                "expected the IP address that other processes connect to, not a wildcard address"));
        }
        return *std::move(address);
    };
}

tl::expected<std::string, std::string> parse_name(std::string_view text) {
    const auto is_allowed = [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
    };
    if (text.empty() || text.size() > 63 || !absl::ascii_isalnum(static_cast<unsigned char>(text.front())) ||
        !std::all_of(text.begin(), text.end(), is_allowed)) {
        return tl::unexpected(
            std::string("expected 1 to 63 letters, digits, '-', '_' or '.', "
                        "starting with a letter or digit"));
    }
    return std::string(text);
}

tl::expected<log_severity, std::string> parse_log_level(std::string_view text) {
    constexpr std::array<std::pair<std::string_view, log_severity>, 4> levels = {
        {{"debug", log_severity::debug},
         {"info", log_severity::info},
         {"warning", log_severity::warning},
         {"error", log_severity::error}}};
    const auto found =
        std::find_if(levels.begin(), levels.end(), [&](const auto& level) { return level.first == text; });
    if (found == levels.end()) {
        return tl::unexpected(std::string("expected debug, info, warning or error"));
    }
    return found->second;
}

}  // namespace masticpass
