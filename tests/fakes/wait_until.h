#ifndef MASTICPASS_FAKES_WAIT_UNTIL_H
#define MASTICPASS_FAKES_WAIT_UNTIL_H

#include <absl/time/clock.h>
#include <absl/time/time.h>

namespace masticpass::fakes {

// Evaluates `condition` every millisecond until it is true or `timeout` has passed. Returns its last value.
template <typename Condition>
bool wait_until(const Condition& condition, absl::Duration timeout = absl::Seconds(20)) {
    const absl::Time deadline = absl::Now() + timeout;
    while (!condition()) {
        if (absl::Now() > deadline) {
            return condition();
        }
        absl::SleepFor(absl::Milliseconds(1));
    }
    return true;
}

}  // namespace masticpass::fakes

#endif
