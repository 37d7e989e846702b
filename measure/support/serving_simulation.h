#ifndef MASTICPASS_MEASURE_SUPPORT_SERVING_SIMULATION_H
#define MASTICPASS_MEASURE_SUPPORT_SERVING_SIMULATION_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "support/serving_policy.h"
#include "support/serving_trace.h"

namespace masticpass::measure {

// What occupies a slot, by the kind of the job and the size class under which the policy started it.
enum class occupant {
    long_kind,
    // A job of a long kind that was started as short work.
    long_kind_as_short,
    // A job of a short kind that runs for more than a second.
    overlong,
    short_kind,
};
inline constexpr std::size_t occupant_kinds = 4;

struct short_wait {
    double wait = 0.0;
    // Slot-seconds used by each kind of occupant during the wait.
    std::array<double, occupant_kinds> slot_seconds = {};
};

struct serving_result {
    // Worth of the jobs that completed before their deadline.
    double worth_on_time = 0.0;
    std::int64_t on_time = 0;
    // Slot-seconds and number of the jobs completed within the horizon, including those after their deadline.
    double work_completed = 0.0;
    std::int64_t jobs_completed = 0;
    std::int64_t attempts = 0;
    std::int64_t retries = 0;
    // Seconds from the arrival to the first start of each short job that started.
    std::vector<double> short_waits;
    // The same waits with the occupants of the slots.
    std::vector<short_wait> short_wait_causes;
    std::int64_t short_jobs = 0;
};

// Simulates the trace with the policy on servers with 8 slots each. A failing server fails each attempt after
// 20 ms: half of them as refused before they ran, the other half by a lost connection.
serving_result simulate(const serving_trace& trace, serving_policy& policy);

}  // namespace masticpass::measure

#endif
