#ifndef MASTICPASS_JOBS_OWNERSHIP_H
#define MASTICPASS_JOBS_OWNERSHIP_H

#include <mutex>

#include <absl/time/time.h>

#include "common/clock.h"
#include "decision/jobs/job_types.h"
#include "decision/jobs/owner_lease.h"

namespace masticpass {

// One term of an owner: its fence, and its lease as all its threads see it.
// Ownership: borrows the clock. Thread safety: all methods may be called from any thread.
class ownership {
public:
    ownership(fence_token fence, const ownership_limits& limits, absl::Time granted_at, const clock& time)
        : fence_(fence), clock_(time), lease_(limits, granted_at) {}

    fence_token fence() const { return fence_; }

    // The owner may act now. Check immediately before each act. A term that was over once is over for good,
    // since threads end when they see it.
    bool is_valid() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_over_ = is_over_ || !lease_.is_valid(clock_.now());
        return !is_over_;
    }
    absl::Time hold_until(absl::Time now) const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return lease_.run_lease_end(now);
    }
    // No effect on a term that is over.
    void renew(absl::Time sent_at) {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_over_ = is_over_ || !lease_.is_valid(clock_.now());
        lease_.renew(sent_at);
    }
    // The term has ended: the lease was lost or let go.
    void end() {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_over_ = true;
    }

private:
    const fence_token fence_;
    const clock& clock_;
    mutable std::mutex mutex_;
    owner_lease lease_;
    mutable bool is_over_ = false;
};

}  // namespace masticpass

#endif
