#ifndef MASTICPASS_DECISION_SERVING_ATTEMPT_OUTCOME_H
#define MASTICPASS_DECISION_SERVING_ATTEMPT_OUTCOME_H

#include <string>

#include <tl/expected.hpp>

#include "common/verdict.h"

namespace masticpass {

// What ended one attempt on a backend server.
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

// A value means that the request ran and its response is complete.
using attempt_result = tl::expected<void, refusal>;

// Maps the end of an attempt to its verdict. `first_byte_sent` is whether any byte of the request was handed
// to the connection; without one, the server cannot have run the request.
[[nodiscard]] verdict verdict_of(attempt_event event, bool first_byte_sent);

// The result to report to the scheduler; `message` explains a failure to the caller.
[[nodiscard]] attempt_result result_of(attempt_event event, bool first_byte_sent, std::string message);

// Whether an attempt that ended with `outcome` may be followed by another one. The retry budget applies as
// well.
[[nodiscard]] bool may_retry(verdict outcome, bool repeatable);

}  // namespace masticpass

#endif
