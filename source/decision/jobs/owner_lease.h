#ifndef MASTICPASS_DECISION_JOBS_OWNER_LEASE_H
#define MASTICPASS_DECISION_JOBS_OWNER_LEASE_H

#include <algorithm>

#include <absl/time/time.h>

namespace masticpass {

// Time limits that tie the lease of a shard's owner to the leases that it grants to runs on workers. They
// keep one inequality: what an earlier owner can have granted has ended when a new owner has waited
// `takeover_wait`.
struct ownership_limits {
    // Time to live of the owner's lease in the store. The store accepts one second at least.
    absl::Duration time_to_live = absl::Milliseconds(2000);
    // The owner trusts its lease for this much less, for the reading of its clock and the way to the worker.
    absl::Duration safety_margin = absl::Milliseconds(150);
    // Lease of runs while the owner renews its own lease in time. Longer than a take-over, so that running
    // work survives it, and short enough that the tasks of a dead worker start elsewhere soon.
    absl::Duration run_lease_duration = absl::Milliseconds(4500);
    // So far beyond its own lease an owner may hold runs. An outage of the store of 5 s loses no work then.
    absl::Duration run_lease_extension = absl::Seconds(6);
    // Workers shorten longer leases to this.
    absl::Duration maximum_run_lease = absl::Seconds(10);
    // The clock of a worker runs slower than true time by this factor at most.
    double minimum_worker_clock_rate = 0.98;

    // An owner whose record is removed from the store may act for the rest of its lease, and its last order
    // may hold runs for `hold_beyond_lease` more on a slow clock.
    absl::Duration takeover_wait() const {
        return time_to_live + run_lease_extension / minimum_worker_clock_rate + safety_margin;
    }
};

// The owner's view of its lease, on a clock that counts suspensions of the machine.
// Thread safety: none.
class owner_lease {
public:
    owner_lease(const ownership_limits& limits, absl::Time granted_at)
        : limits_(limits), renewed_at_(granted_at) {}

    // `sent_at` is the time before the renewal was sent, since the store counts from its arrival.
    void renew(absl::Time sent_at) { renewed_at_ = std::max(renewed_at_, sent_at); }

    absl::Time end() const { return renewed_at_ + limits_.time_to_live - limits_.safety_margin; }
    bool is_valid(absl::Time now) const { return now < end(); }

    // Until when the owner may hold runs. While renewals are late the holds grow to the limit, since the next
    // renewal, or the next owner, may be seconds away.
    absl::Time run_lease_end(absl::Time now) const {
        const absl::Time limit =
            std::min(end() + limits_.run_lease_extension, now + limits_.maximum_run_lease);
        const bool is_renewal_late = now - renewed_at_ > limits_.time_to_live / 2;
        return is_renewal_late ? limit : std::min(limit, now + limits_.run_lease_duration);
    }

private:
    const ownership_limits limits_;
    absl::Time renewed_at_;
};

}  // namespace masticpass

#endif
