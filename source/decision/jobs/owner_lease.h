#ifndef MASTICPASS_DECISION_JOBS_OWNER_LEASE_H
#define MASTICPASS_DECISION_JOBS_OWNER_LEASE_H

#include <algorithm>

#include <absl/time/time.h>

namespace masticpass {

// Durations that relate the lease of a shard's owner to the leases that it grants to runs on workers. They
// maintain one invariant: every run lease that an earlier owner may have granted has ended after a new owner
// has waited for takeover_wait().
struct ownership_limits {
    // Time to live of the owner's lease in the store, which accepts no less than one second.
    absl::Duration time_to_live = absl::Milliseconds(2000);
    // The owner considers its lease ended this much earlier, to allow for the time to read its clock and to
    // deliver orders to workers.
    absl::Duration safety_margin = absl::Milliseconds(150);
    // Duration of run leases while the owner renews its own lease on time. It is longer than a takeover, so
    // that running tasks survive one, and short enough that the tasks of a failed worker soon start
    // elsewhere.
    absl::Duration run_lease_duration = absl::Milliseconds(4500);
    // The owner may extend run leases this far beyond the end of its own lease. With this value a store
    // outage of 5 s loses no work.
    absl::Duration run_lease_extension = absl::Seconds(6);
    // Workers truncate longer run leases to this duration.
    absl::Duration maximum_run_lease = absl::Seconds(10);
    // Lower bound of the rate of a worker's clock relative to true time.
    double minimum_worker_clock_rate = 0.98;

    // Time that a new owner waits for run leases of earlier owners. An owner whose record is removed from the
    // store may act for the rest of its lease, and its last order may extend run leases by
    // run_lease_extension beyond that, on a slow clock.
    absl::Duration takeover_wait() const {
        return time_to_live + run_lease_extension / minimum_worker_clock_rate + safety_margin;
    }
};

// The owner's view of its lease, on a clock that keeps counting while the machine is suspended.
// Thread safety: none.
class owner_lease {
public:
    owner_lease(const ownership_limits& limits, absl::Time granted_at)
        : limits_(limits), renewed_at_(granted_at) {}

    // Records a renewal. `sent_at` is a time before the renewal was sent; using it is safe because the store
    // counts from the arrival of the renewal.
    void renew(absl::Time sent_at) { renewed_at_ = std::max(renewed_at_, sent_at); }

    absl::Time end() const { return renewed_at_ + limits_.time_to_live - limits_.safety_margin; }
    bool is_valid(absl::Time now) const { return now < end(); }

    // Returns the time until which the owner may grant run leases. While renewals are late, run leases are
    // extended to the limit, since the next renewal or the next owner may be seconds away.
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
