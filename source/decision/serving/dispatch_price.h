#ifndef MASTICPASS_DECISION_SERVING_DISPATCH_PRICE_H
#define MASTICPASS_DECISION_SERVING_DISPATCH_PRICE_H

#include <array>
#include <cstdint>

#include <absl/time/time.h>

namespace masticpass {

// The least value for which work was dispatched lately. Work of less value that has to start within a time
// for which the price has held is not expected to start at all, so it can be refused early. Thread safety:
// none; the caller holds a lock. `now` must not go back.
class dispatch_price {
public:
    // The longest time for which the price is known.
    static constexpr absl::Duration longest = absl::Seconds(10);

    dispatch_price();

    // Records that work of this value was dispatched because no work of more value waited. Ends a free slot.
    void dispatched(double value, absl::Time now);

    // Records whether from `now` on a slot is free that any waiting work could have, so that the price is
    // nothing.
    void slot_is_free(bool free, absl::Time now);

    // The least value over the last `span`; minus infinity if there was a free slot, if nothing was
    // dispatched or if `span` is longer than what is known.
    double least(absl::Duration span, absl::Time now);

private:
    static constexpr absl::Duration step = absl::Milliseconds(250);
    static constexpr std::size_t steps = 41;

    void advance(absl::Time now);
    double& present() { return least_[static_cast<std::size_t>(present_step_) % steps]; }

    // A ring by step; infinity for a step without a dispatch.
    std::array<double, steps> least_ = {};
    std::int64_t present_step_ = 0;
    bool free_ = true;
};

}  // namespace masticpass

#endif
