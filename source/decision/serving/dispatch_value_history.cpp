#include "decision/serving/dispatch_value_history.h"

#include <algorithm>
#include <limits>

namespace masticpass {
namespace {

constexpr double infinity = std::numeric_limits<double>::infinity();

}  // namespace

dispatch_value_history::dispatch_value_history() {
    bucket_minimums_.fill(-infinity);
}

void dispatch_value_history::record_dispatch(double value, absl::Time now) {
    advance(now);
    slot_is_free_ = false;
    current_bucket() = std::min(current_bucket(), value);
}

void dispatch_value_history::record_free_slot(bool free, absl::Time now) {
    advance(now);
    slot_is_free_ = free;
    if (free) {
        current_bucket() = -infinity;
    }
}

double dispatch_value_history::min_value(absl::Duration span, absl::Time now) {
    advance(now);
    if (span > max_span) {
        return -infinity;
    }
    const auto wanted = std::max<std::int64_t>(
        1, absl::ToInt64Milliseconds(span) / absl::ToInt64Milliseconds(bucket_duration));
    double least = infinity;
    for (std::int64_t back = 0; back <= wanted; ++back) {
        least = std::min(
            least, bucket_minimums_[static_cast<std::size_t>(current_bucket_index_ - back) % bucket_count]);
    }
    return least == infinity ? -infinity : least;
}

void dispatch_value_history::advance(absl::Time now) {
    const std::int64_t wanted = absl::ToUnixMillis(now) / absl::ToInt64Milliseconds(bucket_duration);
    if (wanted - current_bucket_index_ > static_cast<std::int64_t>(bucket_count)) {
        current_bucket_index_ = wanted - static_cast<std::int64_t>(bucket_count);
    }
    while (current_bucket_index_ < wanted) {
        ++current_bucket_index_;
        current_bucket() = slot_is_free_ ? -infinity : infinity;
    }
}

}  // namespace masticpass
