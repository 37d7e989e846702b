#ifndef MASTICPASS_TELEMETRY_GUARDED_CALL_H
#define MASTICPASS_TELEMETRY_GUARDED_CALL_H

#include <string_view>

#include <absl/functional/function_ref.h>

namespace masticpass {

// Calls `body` at the boundary of a thread. If it throws, logs the exception under the name of the task and
// returns false, so that an unexpected error in one thread does not end the process. Thread safety: may be
// called from any thread.
bool call_guarded(std::string_view task, absl::FunctionRef<void()> body);

}  // namespace masticpass

#endif
