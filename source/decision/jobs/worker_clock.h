#ifndef MASTICPASS_DECISION_JOBS_WORKER_CLOCK_H
#define MASTICPASS_DECISION_JOBS_WORKER_CLOCK_H

#include <algorithm>
#include <cstdint>
#include <optional>

#include <absl/time/time.h>

namespace masticpass {

// Relates the clock of a worker to the clock of this machine, and bounds until when the worker may keep runs.
// Thread safety: none.
class worker_clock {
public:
    explicit worker_clock(double minimum_rate) : minimum_rate_(minimum_rate) {}

    bool has_reading() const { return reading_.has_value(); }

    // The worker's clock showed at least `clock_ms` at `received_at`.
    void observe(std::int64_t clock_ms, absl::Time received_at) {
        reading_ = clock_reading{.clock_ms = clock_ms, .received_at = received_at};
    }

    // The worker's time for "until `until`". Precondition: is_known(). Extends `held_until`.
    std::int64_t extend_lease(absl::Time until) {
        const absl::Duration ahead = until - reading_->received_at;
        const std::int64_t until_ms = reading_->clock_ms + absl::ToInt64Milliseconds(ahead);
        lease_end_ = std::max(lease_end_, reading_->received_at + ahead / minimum_rate_);
        return until_ms;
    }

    // After this time nothing runs there by orders that used `hold`. Orders that are carried out later carry
    // a time that has passed and are refused.
    absl::Time lease_end() const { return lease_end_; }

    // Another owner may hold runs until `until`.
    void assume_lease_until(absl::Time until) { lease_end_ = std::max(lease_end_, until); }

private:
    struct clock_reading {
        std::int64_t clock_ms = 0;
        absl::Time received_at;
    };

    const double minimum_rate_;
    std::optional<clock_reading> reading_;
    absl::Time lease_end_ = absl::InfinitePast();
};

}  // namespace masticpass

#endif
