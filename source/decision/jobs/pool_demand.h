#ifndef MASTICPASS_DECISION_JOBS_POOL_DEMAND_H
#define MASTICPASS_DECISION_JOBS_POOL_DEMAND_H

#include <deque>

#include <absl/time/time.h>

#include "decision/jobs/job_scheduler.h"

namespace masticpass {

struct pool_demand_limits {
    // Arrivals of this last while show that a turn begins. Short, since a VM needs over a second to come.
    absl::Duration rising_window = absl::Milliseconds(500);
    // Arrivals of this last while show that a turn has ended.
    absl::Duration falling_window = absl::Milliseconds(1500);
    // Until a VM that is called now takes its first task.
    absl::Duration lead_time = absl::Milliseconds(1500);
    // The forecast is at most so many times what arrives now.
    double maximum_rise_factor = 2.5;
    // A rise counts if it is this many times larger than what arrivals at random differ by.
    double significance_factor = 1.2;
    // Work that waits should be done within this time.
    absl::Duration backlog_drain_time = absl::Seconds(1);
    // Share of a VM's room that tasks of mixed sizes fill.
    double packing_efficiency = 0.85;
};

// Estimates how many VMs a pool needs from what arrives, what waits and what lasts.
// Load pattern: a queue asks next to nothing, then several times its mean for some seconds. Work that waits
// alone shows the beginning of a turn too late, since as much again arrives before the first VM has come; and
// arrivals rise for some seconds, so the rise is carried forward to the time when a VM called now has come.
// Thread safety: none.
class pool_demand {
public:
    explicit pool_demand(const pool_demand_limits& limits) : limits_(limits) {}

    // Takes the pool's present load. Call with rising times.
    void observe(const pool_load& load, absl::Time now);

    // VMs with `cores` and `memory_mb` that the pool needs now.
    int needed_vms(double cores, double memory_mb) const;
    // VMs that the pool should keep, which follows falling arrivals more slowly.
    int retained_vms(double cores) const;

private:
    struct sample {
        absl::Time at;
        double arrived_core_seconds = 0;
        std::int64_t arrived_jobs = 0;
    };

    // The last sample that is at least so old, or the first.
    const sample& sample_before(absl::Duration age) const;
    // Work that arrived per second, in cores.
    double arrival_rate(absl::Duration window) const;
    // The same when a VM that is called now has come.
    double forecast_arrival_rate() const;
    // For the work alone.
    int vms_for_work(double rate, double cores) const;

    const pool_demand_limits limits_;
    std::deque<sample> samples_;
    pool_load load_;
};

}  // namespace masticpass

#endif
