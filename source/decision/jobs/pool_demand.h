#ifndef MASTICPASS_DECISION_JOBS_POOL_DEMAND_H
#define MASTICPASS_DECISION_JOBS_POOL_DEMAND_H

#include <deque>

#include <absl/time/time.h>

#include "decision/jobs/job_scheduler.h"

namespace masticpass {

struct pool_demand_limits {
    // Window of arrivals that detects the beginning of a burst. It is short, since a VM needs more than a
    // second to join a pool.
    absl::Duration rising_window = absl::Milliseconds(500);
    // Window of arrivals that detects the end of a burst.
    absl::Duration falling_window = absl::Milliseconds(1500);
    // Time from ordering the move of a VM until it takes its first task.
    absl::Duration lead_time = absl::Milliseconds(1500);
    // Upper limit of the forecast, as a multiple of the current arrival rate.
    double maximum_rise_factor = 2.5;
    // A rise is significant if it exceeds the expected random difference between two windows by this factor.
    double significance_factor = 1.2;
    // Waiting work should be completed within this time.
    absl::Duration backlog_drain_time = absl::Seconds(1);
    // Fraction of a VM's capacity that tasks of mixed sizes can fill.
    double packing_efficiency = 0.85;
};

// Estimates how many VMs a pool needs from its arriving work, its waiting work and its long-running tasks.
// Load pattern: a queue receives almost no load, then several times its mean for some seconds. Waiting work
// alone shows the beginning of such a burst too late, since as much work again arrives before the first VM
// has joined. Arrivals rise for some seconds, so the rise is extrapolated to the time when a VM that is
// ordered now has joined. Thread safety: none.
class pool_demand {
public:
    explicit pool_demand(const pool_demand_limits& limits) : limits_(limits) {}

    // Records the pool's current load. Precondition: `now` does not decrease between calls.
    void observe(const pool_load& load, absl::Time now);

    // Number of VMs with `cores` and `memory_mb` that the pool needs now.
    int needed_vms(double cores, double memory_mb) const;
    // Number of VMs that the pool should retain. Follows falling arrivals more slowly than needed_vms.
    int retained_vms(double cores) const;

private:
    struct sample {
        absl::Time at;
        double arrived_core_seconds = 0;
        std::int64_t arrived_jobs = 0;
    };

    // Returns the newest sample that is at least `age` older than the newest one, or else the first sample.
    const sample& sample_before(absl::Duration age) const;
    // Estimated work that arrived per second within the window, in cores.
    double arrival_rate(absl::Duration window) const;
    // Forecast of the arrival rate at the time when a VM that is ordered now has joined, in cores.
    double forecast_arrival_rate() const;
    // Number of VMs for the given arrival rate, the waiting work and the placed long-running tasks,
    // regardless of how many tasks there are to run.
    int vms_for_work(double rate, double cores) const;

    const pool_demand_limits limits_;
    std::deque<sample> samples_;
    pool_load load_;
};

}  // namespace masticpass

#endif
