#include "decision/serving/request_identity.h"

#include <charconv>

#include <absl/strings/str_cat.h>

namespace masticpass {

std::optional<request_identity> request_identity::parse(std::string_view text) {
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos || dot == 0 || dot + 1 == text.size()) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(dot + 1);
    if (digits.size() > 1 && digits.front() == '0') {
        return std::nullopt;
    }
    std::uint64_t sequence = 0;
    const char* const end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, sequence);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return request_identity{incarnation_id(std::string(text.substr(0, dot))), sequence};
}

std::string request_identity::to_string() const {
    return absl::StrCat(issuer.value(), ".", sequence);
}

}  // namespace masticpass
