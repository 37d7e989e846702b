#ifndef MASTICPASS_MEASURE_SUPPORT_SERVING_SIMULATION_H
#define MASTICPASS_MEASURE_SUPPORT_SERVING_SIMULATION_H

#include <cstdint>
#include <vector>

#include "support/serving_policy.h"
#include "support/serving_trace.h"

namespace masticpass::measure {

struct simulation_result {
    // Worth of the jobs that completed before their deadline.
    double worth_on_time = 0.0;
    std::int64_t on_time = 0;
    // Slot-seconds and jobs completed within the horizon, late ones included.
    double work_completed = 0.0;
    std::int64_t jobs_completed = 0;
    std::int64_t attempts = 0;
    std::int64_t retries = 0;
    // Seconds from arrival to the first start of short work, for the jobs that started.
    std::vector<double> short_waits;
    std::int64_t short_jobs = 0;
};

// Runs the trace through the policy on servers with 8 slots each. A failing server fails an attempt after 20
// ms: half of them as not run, the other half as a lost connection.
simulation_result simulate(const serving_trace& trace, serving_policy& policy);

}  // namespace masticpass::measure

#endif
