#include "decision/serving/dispatch_price.h"

#include <algorithm>
#include <limits>

namespace masticpass {
namespace {

constexpr double infinity = std::numeric_limits<double>::infinity();

}  // namespace

dispatch_price::dispatch_price() {
    least_.fill(-infinity);
}

void dispatch_price::dispatched(double value, absl::Time now) {
    advance(now);
    free_ = false;
    present() = std::min(present(), value);
}

void dispatch_price::slot_is_free(bool free, absl::Time now) {
    advance(now);
    free_ = free;
    if (free) {
        present() = -infinity;
    }
}

double dispatch_price::least(absl::Duration span, absl::Time now) {
    advance(now);
    if (span > longest) {
        return -infinity;
    }
    const auto wanted =
        std::max<std::int64_t>(1, absl::ToInt64Milliseconds(span) / absl::ToInt64Milliseconds(step));
    double least = infinity;
    for (std::int64_t back = 0; back <= wanted; ++back) {
        least = std::min(least, least_[static_cast<std::size_t>(present_step_ - back) % steps]);
    }
    return least == infinity ? -infinity : least;
}

void dispatch_price::advance(absl::Time now) {
    const std::int64_t wanted = absl::ToUnixMillis(now) / absl::ToInt64Milliseconds(step);
    if (wanted - present_step_ > static_cast<std::int64_t>(steps)) {
        present_step_ = wanted - static_cast<std::int64_t>(steps);
    }
    while (present_step_ < wanted) {
        ++present_step_;
        present() = free_ ? -infinity : infinity;
    }
}

}  // namespace masticpass
