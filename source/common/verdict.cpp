#include "common/verdict.h"

#include <algorithm>

namespace masticpass {

namespace {

constexpr std::array<std::string_view, 3> verdict_names = {"not-run", "may-have-run", "ran"};

constexpr std::array<std::string_view, refusal_reason_count> refusal_reason_names = {
    "invalid-request",
    "request-too-large",
    "unknown-service",
    "no-configuration",
    "stopping",
    "queue-full-items",
    "queue-full-bytes",
    "deadline-passed",
    "deadline-unreachable",
    "no-server",
    "slots-fenced",
    "cancelled",
    "retry-budget-empty",
    "identity-required",
    "identity-unknown",
    "identity-expired",
    "identity-in-use",
    "already-ran",
    "issuer-gone",
    "connect-failed",
    "server-refused",
    "answer-timeout",
    "answer-truncated",
    "answer-mismatched",
    "connection-lost",
    "connection-silent",
    "peer-unreachable",
    "job-fails-everywhere",
    "internal-error",
};

template <typename Enum, std::size_t Size>
std::optional<Enum> parse_name(const std::array<std::string_view, Size>& names, std::string_view text) {
    const auto found = std::find(names.begin(), names.end(), text);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<Enum>(found - names.begin());
}

}  // namespace

std::string_view to_string(verdict value) {
    return verdict_names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(refusal_reason reason) {
    return refusal_reason_names.at(static_cast<std::size_t>(reason));
}

std::optional<verdict> parse_verdict(std::string_view text) {
    return parse_name<verdict>(verdict_names, text);
}

std::optional<refusal_reason> parse_refusal_reason(std::string_view text) {
    return parse_name<refusal_reason>(refusal_reason_names, text);
}

}  // namespace masticpass
