#include "agent/backoff.h"

#include <algorithm>

#include <absl/random/uniform_real_distribution.h>
#include <absl/synchronization/notification.h>

namespace masticpass {

jittered_backoff::jittered_backoff(const backoff_options& options, absl::BitGenRef random)
    : options_(options), random_(random), bound_(options.initial) {}

absl::Duration jittered_backoff::next() {
    absl::uniform_real_distribution<double> fraction(0.5, 1.0);
    const absl::Duration delay = bound_ * fraction(random_);
    bound_ = std::min(bound_ * 2, options_.maximum);
    return delay;
}

void jittered_backoff::reset() {
    bound_ = options_.initial;
}

bool wait_unless_stopped(absl::Duration duration, const std::stop_token& stop) {
    absl::Notification stopped;
    const std::stop_callback notify(stop, [&stopped] { stopped.Notify(); });
    return !stopped.WaitForNotificationWithTimeout(duration);
}

}  // namespace masticpass
