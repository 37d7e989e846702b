#ifndef MASTICPASS_FAKES_WAIT_UNTIL_H
#define MASTICPASS_FAKES_WAIT_UNTIL_H

#include <absl/time/clock.h>
#include <absl/time/time.h>

namespace masticpass::fakes {

// Evaluates `condition` until it is true or `bound` has passed. Returns its last value.
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
