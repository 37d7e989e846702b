#ifndef MASTICPASS_COMMON_ATTEMPT_STATE_H
#define MASTICPASS_COMMON_ATTEMPT_STATE_H

#include <string_view>

namespace masticpass {

// What a backend server states about an attempt.
enum class attempt_state {
    // It has received the attempt and not yet sent its response.
    running,
    // It neither runs the attempt nor has a response left to send.
    unknown,
    // It answered without a statement, as servers do that keep no track of their attempts.
    not_stated,
    // It did not answer in time, or no connection could be opened within the quota.
    not_answered,
};

// The name in metrics.
std::string_view to_string(attempt_state state);

}  // namespace masticpass

#endif
