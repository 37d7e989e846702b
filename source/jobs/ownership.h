#ifndef MASTICPASS_JOBS_OWNERSHIP_H
#define MASTICPASS_JOBS_OWNERSHIP_H

#include <mutex>

#include <absl/time/time.h>

#include "common/clock.h"
#include "decision/jobs/job_types.h"
#include "decision/jobs/owner_lease.h"

namespace masticpass {

// One term of a shard owner: its fencing token, and the state of its lease, which all threads of the owner
// share. Ownership: borrows the clock. Thread safety: all methods may be called from any thread.
class ownership {
public:
    ownership(fencing_token_value fencing_token, const ownership_limits& limits, absl::Time granted_at,
              const clock& time)
        : fencing_token_(fencing_token), limits_(limits), clock_(time), lease_(limits, granted_at) {}

    fencing_token_value fencing_token() const { return fencing_token_; }
    const ownership_limits& limits() const { return limits_; }

    // Returns whether the owner may act. Callers check this immediately before each action. A term that has
    // ended never becomes valid again, because threads exit when they see that it has ended.
    bool is_valid() const {
        const std::lock_guard<std::mutex> lock(mutex_);
        has_ended_ = has_ended_ || !lease_.is_valid(clock_.now());
        return !has_ended_;
    }
    // Returns the time until which the owner may grant run leases.
    absl::Time run_lease_end(absl::Time now) const {
        const std::lock_guard<std::mutex> lock(mutex_);
        return lease_.run_lease_end(now);
    }
    // Records a renewal of the lease that was sent at `sent_at`. Has no effect on a term that has ended.
    void renew(absl::Time sent_at) {
        const std::lock_guard<std::mutex> lock(mutex_);
        has_ended_ = has_ended_ || !lease_.is_valid(clock_.now());
        lease_.renew(sent_at);
    }
    // Ends the term, because the lease was lost or is released.
    void end() {
        const std::lock_guard<std::mutex> lock(mutex_);
        has_ended_ = true;
    }

private:
    const fencing_token_value fencing_token_;
    const ownership_limits limits_;
    const clock& clock_;
    mutable std::mutex mutex_;
    owner_lease lease_;
    mutable bool has_ended_ = false;
};

}  // namespace masticpass

#endif
