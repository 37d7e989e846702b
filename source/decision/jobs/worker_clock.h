#ifndef MASTICPASS_DECISION_JOBS_WORKER_CLOCK_H
#define MASTICPASS_DECISION_JOBS_WORKER_CLOCK_H

#include <algorithm>
#include <cstdint>
#include <optional>

#include <absl/time/time.h>

namespace masticpass {

// Maps times on this machine's clock to a worker's clock, and tracks the latest end of the run leases on that
// worker. Thread safety: none.
class worker_clock {
public:
    explicit worker_clock(double minimum_rate) : minimum_rate_(minimum_rate) {}

    bool has_reading() const { return reading_.has_value(); }

    // Records a reading: the worker's clock showed at least `clock_ms` at `received_at`.
    void observe(std::int64_t clock_ms, absl::Time received_at) {
        reading_ = clock_reading{.clock_ms = clock_ms, .received_at = received_at};
    }

    // Extends the run leases on the worker to `until` and returns that time on the worker's clock.
    // lease_end() accounts for the slowest possible clock. Precondition: has_reading().
    std::int64_t extend_lease(absl::Time until) {
        const absl::Duration ahead = until - reading_->received_at;
        const std::int64_t until_ms = reading_->clock_ms + absl::ToInt64Milliseconds(ahead);
        lease_end_ = std::max(lease_end_, reading_->received_at + ahead / minimum_rate_);
        return until_ms;
    }

    // After this time no run remains that was started or kept by orders that carry a time from
    // extend_lease(). Orders that are carried out later carry a time that has passed and are refused.
    absl::Time lease_end() const { return lease_end_; }

    // Accounts for run leases until `until` that another owner may have granted.
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
