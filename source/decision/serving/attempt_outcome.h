#ifndef MASTICPASS_DECISION_SERVING_ATTEMPT_OUTCOME_H
#define MASTICPASS_DECISION_SERVING_ATTEMPT_OUTCOME_H

#include <string>

#include <tl/expected.hpp>

#include "common/verdict.h"

namespace masticpass {

// The event that ended an attempt on a backend server.
enum class attempt_event {
    // The response matches its declared length and echoes the attempt id.
    complete_response,
    // 503 with Masticpass-Not-Run: yes.
    server_refused,
    connect_failed,
    timeout,
    connection_lost,
    connection_silent,
    truncated_response,
    wrong_attempt_id,
    cancelled,
};

// Has a value if the request ran and its response is complete.
using attempt_result = tl::expected<void, refusal>;

// The verdict for an attempt that ended with `event`. `first_byte_sent` tells whether any byte of the request
// was written to the connection; if none was, the server cannot have run the request.
[[nodiscard]] verdict verdict_of(attempt_event event, bool first_byte_sent);

// The result to report to the scheduler. `message` explains a failure to the caller.
[[nodiscard]] attempt_result result_of(attempt_event event, bool first_byte_sent, std::string message);

// Whether a request may be retried after an attempt that ended with `outcome`. The caller applies the retry
// budget in addition.
[[nodiscard]] bool may_retry(verdict outcome, bool repeatable);

}  // namespace masticpass

#endif
