#ifndef MASTICPASS_COMMON_VERDICT_H
#define MASTICPASS_COMMON_VERDICT_H

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include <absl/time/time.h>

namespace masticpass {

// Whether a backend server may have run a request.
enum class verdict { not_run, may_have_run, ran };

// Why a request was refused or an attempt failed. Each value has its own counter.
enum class refusal_reason {
    invalid_request,
    request_too_large,
    unknown_service,
    no_configuration,
    stopping,
    queue_full_items,
    queue_full_bytes,
    deadline_passed,
    deadline_unreachable,
    no_server,
    slots_fenced,
    cancelled,
    retry_budget_empty,
    identity_required,
    identity_unknown,
    identity_expired,
    identity_in_use,
    already_ran,
    issuer_gone,
    connect_failed,
    server_refused,
    answer_timeout,
    answer_truncated,
    answer_mismatched,
    connection_lost,
    connection_silent,
    peer_unreachable,
    job_fails_everywhere,
    internal_error,
};

inline constexpr std::size_t refusal_reason_count =
    static_cast<std::size_t>(refusal_reason::internal_error) + 1;

// The name used in headers and metrics, for example "not-run".
std::string_view to_string(verdict value);

// The name used in headers and metrics, for example "queue-full-items".
std::string_view to_string(refusal_reason reason);

// Parses a name returned by to_string(verdict); nullopt for any other text.
std::optional<verdict> parse_verdict(std::string_view text);

// Parses a name returned by to_string(refusal_reason); nullopt for any other text.
std::optional<refusal_reason> parse_refusal_reason(std::string_view text);

// A failed attempt or a refused request. `outcome` is never `not_run` if a backend server may have run it.
struct [[nodiscard]] refusal {
    verdict outcome = verdict::may_have_run;
    refusal_reason reason = refusal_reason::internal_error;
    std::string message;
    // Delay after which a retry may succeed; nullopt if waiting does not help.
    std::optional<absl::Duration> retry_after = std::nullopt;
};

}  // namespace masticpass

#endif
