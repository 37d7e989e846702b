#ifndef MASTICPASS_DECISION_SERVING_DISPATCH_VALUE_HISTORY_H
#define MASTICPASS_DECISION_SERVING_DISPATCH_VALUE_HISTORY_H

#include <array>
#include <cstdint>

#include <absl/time/time.h>

namespace masticpass {

// The least value for which work was dispatched lately. Work of less value that has to start within a time
// for which the price has held is not expected to start at all, so it can be refused early. Thread safety:
// none; the caller holds a lock. `now` must not go back.
class dispatch_value_history {
public:
    // The longest time for which the price is known.
    static constexpr absl::Duration max_span = absl::Seconds(10);

    dispatch_value_history();

    // Records that work of this value was dispatched because no work of more value waited. Ends a free slot.
    void record_dispatch(double value, absl::Time now);

    // Records whether from `now` on a slot is free that any waiting work could have, so that the price is
    // nothing.
    void record_free_slot(bool free, absl::Time now);

    // The least value over the last `span`; minus infinity if there was a free slot, if nothing was
    // dispatched or if `span` is longer than what is known.
    double min_value(absl::Duration span, absl::Time now);

private:
    static constexpr absl::Duration bucket_duration = absl::Milliseconds(250);
    static constexpr std::size_t bucket_count = 41;

    void advance(absl::Time now);
    double& current_bucket() {
        return bucket_minimums_[static_cast<std::size_t>(current_bucket_index_) % bucket_count];
    }

    // A ring by step; infinity for a step without a dispatch.
    std::array<double, bucket_count> bucket_minimums_ = {};
    std::int64_t current_bucket_index_ = 0;
    bool slot_is_free_ = true;
};

}  // namespace masticpass

#endif
