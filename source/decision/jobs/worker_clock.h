#ifndef MASTICPASS_DECISION_JOBS_WORKER_CLOCK_H
#define MASTICPASS_DECISION_JOBS_WORKER_CLOCK_H

#include <algorithm>
#include <cstdint>
#include <optional>

#include <absl/time/time.h>

#include "decision/jobs/owner_lease.h"

namespace masticpass {

// Maps times on this machine's clock to a worker's clock, and tracks the latest end of the run leases on that
// worker. Each incarnation of a worker has its own clock. Thread safety: none.
class worker_clock {
public:
    explicit worker_clock(const ownership_limits& limits)
        : minimum_rate_(limits.minimum_worker_clock_rate), maximum_run_lease_(limits.maximum_run_lease) {}

    bool has_reading() const { return reading_.has_value(); }

    // Records a reading: the clock of the incarnation that started at `started_ms` (0 if it is not known)
    // showed at least `clock_ms` at `received_at`. Ignores a reading of an earlier incarnation.
    void observe(std::int64_t started_ms, std::int64_t clock_ms, absl::Time received_at) {
        note_incarnation(started_ms, received_at);
        if (started_ms == 0 || started_ms == started_ms_) {
            reading_ = clock_reading{.clock_ms = clock_ms, .received_at = received_at};
        }
    }

    // Records that the incarnation that started at `started_ms` (0 if it is not known) has responded. If it
    // is a later one, there is no reading of its clock yet, and it may have executed orders that carry a time
    // of the earlier clock, which only the worker's own maximum limits.
    void note_incarnation(std::int64_t started_ms, absl::Time received_at) {
        if (started_ms <= started_ms_) {
            return;
        }
        if (started_ms_ != 0) {
            reading_.reset();
            lease_end_ = std::max(lease_end_, received_at + maximum_run_lease_ / minimum_rate_);
        }
        started_ms_ = started_ms;
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
    const absl::Duration maximum_run_lease_;
    // Start of the last known incarnation; 0 until one is known.
    std::int64_t started_ms_ = 0;
    std::optional<clock_reading> reading_;
    absl::Time lease_end_ = absl::InfinitePast();
};

}  // namespace masticpass

#endif
