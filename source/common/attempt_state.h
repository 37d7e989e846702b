#ifndef MASTICPASS_COMMON_ATTEMPT_STATE_H
#define MASTICPASS_COMMON_ATTEMPT_STATE_H

#include <string_view>

namespace masticpass {

// The state of an attempt as reported by its backend server.
enum class attempt_state {
    // The server has received the attempt and has not yet sent its response.
    running,
    // The server neither runs the attempt nor has a response to send for it.
    unknown,
    // The server responded without a state, because it does not track its attempts.
    not_stated,
    // The server did not respond in time, or no connection could be opened within the quota.
    not_answered,
};

// The name used in metrics.
std::string_view to_string(attempt_state state);

}  // namespace masticpass

#endif
