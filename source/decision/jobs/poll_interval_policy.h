#ifndef MASTICPASS_DECISION_JOBS_POLL_INTERVAL_POLICY_H
#define MASTICPASS_DECISION_JOBS_POLL_INTERVAL_POLICY_H

#include <algorithm>
#include <cstddef>

#include <absl/time/time.h>

namespace masticpass {

// How long an owner collects the ends of a busy worker before it looks again. Every look costs it processor
// time, so with many busy workers it looks at each less often.
// Load pattern: in a turn hundreds of workers each end a task every tenth of a second; looks at every end
// then take the time that starts need.
struct poll_interval_policy {
    static constexpr absl::Duration minimum_interval = absl::Milliseconds(70);
    // Longer pauses delay the next step of a job by more than its objective leaves.
    static constexpr absl::Duration maximum_interval = absl::Milliseconds(220);
    // Looks take about a quarter of the owner's processor at this rate.
    static constexpr double polls_per_core_second = 2500;

    // Processor of the owner, in cores.
    double cores = 1;

    absl::Duration interval(std::size_t busy_workers) const {
        const absl::Duration unclamped =
            absl::Seconds(static_cast<double>(busy_workers) / (cores * polls_per_core_second));
        return std::clamp(unclamped, minimum_interval, maximum_interval);
    }
};

}  // namespace masticpass

#endif
