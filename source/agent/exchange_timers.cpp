#include "agent/exchange_timers.h"

#include <algorithm>

#include <absl/random/distributions.h>

namespace masticpass {

namespace {

constexpr double minimum_interval_factor = 0.8;
constexpr double maximum_interval_factor = 1.2;

}  // namespace

exchange_timers::exchange_timers(absl::Duration interval, absl::BitGenRef random)
    : interval_(interval), random_(random) {}

void exchange_timers::restart(const std::string& address, absl::Time now) {
    end_times_[address] =
        now + interval_ * absl::Uniform(random_, minimum_interval_factor, maximum_interval_factor);
}

absl::Duration exchange_timers::time_remaining(const std::string& address, absl::Time now) const {
    const auto end = end_times_.find(address);
    return end == end_times_.end() ? absl::ZeroDuration() : std::max(end->second - now, absl::ZeroDuration());
}

}  // namespace masticpass
