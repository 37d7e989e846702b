#include "agent/exchange_timers.h"

#include <algorithm>

#include <absl/random/distributions.h>

namespace masticpass {

namespace {

constexpr double shortest_intervals = 0.8;
constexpr double longest_intervals = 1.2;

}  // namespace

exchange_timers::exchange_timers(absl::Duration interval, absl::BitGenRef random)
    : interval_(interval), random_(random) {}

void exchange_timers::restart(const std::string& address, absl::Time now) {
    ends_[address] = now + interval_ * absl::Uniform(random_, shortest_intervals, longest_intervals);
}

absl::Duration exchange_timers::left(const std::string& address, absl::Time now) const {
    const auto end = ends_.find(address);
    return end == ends_.end() ? absl::ZeroDuration() : std::max(end->second - now, absl::ZeroDuration());
}

}  // namespace masticpass
