#ifndef MASTICPASS_DECISION_SERVING_DISPATCH_VALUE_HISTORY_H
#define MASTICPASS_DECISION_SERVING_DISPATCH_VALUE_HISTORY_H

#include <array>
#include <cstdint>

#include <absl/time/time.h>

namespace masticpass {

// Minimum value of the work dispatched in a recent time span. Work of lower value that has to start within a
// span of this length is not expected to start at all, so it can be refused early. Thread safety: none; the
// caller holds a lock. `now` must not decrease between calls.
class dispatch_value_history {
public:
    // The longest span for which the history is kept.
    static constexpr absl::Duration maximum_span = absl::Seconds(10);

    dispatch_value_history();

    // Records that work of this value was dispatched while no work of higher value waited. From `now` on, no
    // slot counts as free until record_free_slot reports one.
    void record_dispatch(double value, absl::Time now);

    // Records whether a slot is free for any work from `now` on. While it is, the minimum value is minus
    // infinity.
    void record_free_slot(bool free, absl::Time now);

    // The minimum value over the last `span`; minus infinity if a slot was free, if nothing was
    // dispatched or if `span` exceeds `maximum_span`.
    double minimum_value(absl::Duration span, absl::Time now);

private:
    static constexpr absl::Duration bucket_duration = absl::Milliseconds(250);
    static constexpr std::size_t bucket_count = 41;

    void advance(absl::Time now);
    double& current_bucket() {
        return bucket_minimums_[static_cast<std::size_t>(current_bucket_index_) % bucket_count];
    }

    // Ring buffer by time bucket; infinity for a bucket without a dispatch.
    std::array<double, bucket_count> bucket_minimums_ = {};
    std::int64_t current_bucket_index_ = 0;
    bool slot_is_free_ = true;
};

}  // namespace masticpass

#endif
