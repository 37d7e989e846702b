#ifndef MASTICPASS_DECISION_JOBS_POLL_INTERVAL_POLICY_H
#define MASTICPASS_DECISION_JOBS_POLL_INTERVAL_POLICY_H

#include <algorithm>
#include <cstddef>

#include <absl/time/time.h>

namespace masticpass {

// Chooses the interval at which the owner of a shard polls each busy worker for ended runs. Every poll costs
// the owner CPU time, so it polls each worker less often while many are busy.
// Load pattern: in a burst, hundreds of workers each end a task every tenth of a second. Polling at every end
// would then use the CPU time that starting tasks needs.
struct poll_interval_policy {
    static constexpr absl::Duration minimum_interval = absl::Milliseconds(70);
    // Longer intervals delay the next step of a job by more than the job's latency objective allows.
    static constexpr absl::Duration maximum_interval = absl::Milliseconds(220);
    // At this rate polling takes about a quarter of the owner's CPU time.
    static constexpr double polls_per_core_second = 2500;

    // CPU of the owner, in cores.
    double cores = 1;

    absl::Duration interval(std::size_t busy_workers) const {
        const absl::Duration unclamped =
            absl::Seconds(static_cast<double>(busy_workers) / (cores * polls_per_core_second));
        return std::clamp(unclamped, minimum_interval, maximum_interval);
    }
};

}  // namespace masticpass

#endif
