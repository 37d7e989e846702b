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

double dispatch_value_history::minimum_value(absl::Duration span, absl::Time now) {
    advance(now);
    if (span > maximum_span) {
        return -infinity;
    }
    const auto span_buckets = std::max<std::int64_t>(
        1, absl::ToInt64Milliseconds(span) / absl::ToInt64Milliseconds(bucket_duration));
    double minimum = infinity;
    for (std::int64_t offset = 0; offset <= span_buckets; ++offset) {
        minimum = std::min(
            minimum,
            bucket_minimums_[static_cast<std::size_t>(current_bucket_index_ - offset) % bucket_count]);
    }
    return minimum == infinity ? -infinity : minimum;
}

void dispatch_value_history::advance(absl::Time now) {
    const std::int64_t target_index = absl::ToUnixMillis(now) / absl::ToInt64Milliseconds(bucket_duration);
    if (target_index - current_bucket_index_ > static_cast<std::int64_t>(bucket_count)) {
        current_bucket_index_ = target_index - static_cast<std::int64_t>(bucket_count);
    }
    while (current_bucket_index_ < target_index) {
        ++current_bucket_index_;
        current_bucket() = slot_is_free_ ? -infinity : infinity;
    }
}

}  // namespace masticpass
