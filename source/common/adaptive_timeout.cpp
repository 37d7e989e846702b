#include "common/adaptive_timeout.h"

#include <algorithm>

namespace masticpass {

namespace {

// Weights of one response, as in RFC 6298.
constexpr int smoothing_divisor = 8;
constexpr int variation_divisor = 4;
constexpr int variation_factor = 4;

}  // namespace

absl::Duration adaptive_timeout::current() const {
    const absl::MutexLock lock(&mutex_);
    return current_;
}

void adaptive_timeout::record_response(absl::Duration elapsed) {
    const absl::MutexLock lock(&mutex_);
    if (has_response_) {
        variation_ += (absl::AbsDuration(elapsed - smoothed_) - variation_) / variation_divisor;
        smoothed_ += (elapsed - smoothed_) / smoothing_divisor;
    } else {
        has_response_ = true;
        smoothed_ = elapsed;
        variation_ = elapsed / 2;
    }
    current_ = std::clamp(smoothed_ + variation_factor * variation_, limits_.minimum, limits_.maximum);
}

void adaptive_timeout::record_timeout(absl::Duration used) {
    const absl::MutexLock lock(&mutex_);
    // Calls that time out together double the timeout once.
    current_ = std::clamp(std::max(current_, 2 * used), limits_.minimum, limits_.maximum);
}

}  // namespace masticpass
