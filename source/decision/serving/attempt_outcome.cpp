#include "decision/serving/attempt_outcome.h"

#include <utility>

namespace masticpass {
namespace {

refusal_reason reason_of(attempt_event event) {
    switch (event) {
        case attempt_event::server_refused:
            return refusal_reason::server_refused;
        case attempt_event::connect_failed:
            return refusal_reason::connect_failed;
        case attempt_event::timeout:
            return refusal_reason::answer_timeout;
        case attempt_event::connection_lost:
            return refusal_reason::connection_lost;
        case attempt_event::connection_silent:
            return refusal_reason::connection_silent;
        case attempt_event::truncated_response:
            return refusal_reason::answer_truncated;
        case attempt_event::wrong_attempt_id:
            return refusal_reason::answer_mismatched;
        case attempt_event::cancelled:
            return refusal_reason::cancelled;
        case attempt_event::complete_response:
            break;
    }
    return refusal_reason::internal_error;
}

}  // namespace

verdict verdict_of(attempt_event event, bool first_byte_sent) {
    if (event == attempt_event::complete_response) {
        return verdict::ran;
    }
    if (event == attempt_event::server_refused || !first_byte_sent) {
        return verdict::not_run;
    }
    return verdict::may_have_run;
}

attempt_result result_of(attempt_event event, bool first_byte_sent, std::string message) {
    const verdict outcome = verdict_of(event, first_byte_sent);
    if (outcome == verdict::ran) {
        return {};
    }
    return tl::make_unexpected(
        refusal{.outcome = outcome, .reason = reason_of(event), .message = std::move(message)});
}

bool may_retry(verdict outcome, bool repeatable) {
    switch (outcome) {
        case verdict::not_run:
            return true;
        case verdict::may_have_run:
            return repeatable;
        case verdict::ran:
            return false;
    }
    return false;
}

}  // namespace masticpass
