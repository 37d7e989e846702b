#ifndef MASTICPASS_MEASURE_SUPPORT_SERVING_TRACE_H
#define MASTICPASS_MEASURE_SUPPORT_SERVING_TRACE_H

#include <cstdint>
#include <string>
#include <vector>

namespace masticpass::measure {

// A job of the trace. Times are in seconds from the start of the simulation.
struct traced_job {
    double arrival = 0.0;
    double deadline = 0.0;
    double run_time = 0.0;
    double declared_run_time = 0.0;
    double worth = 1.0;
    std::string kind;
    bool short_kind = false;
    bool repeatable = false;
};

// A server that fails all attempts from `from` until `to`.
struct server_fault {
    int server = 0;
    double from = 0.0;
    double to = 0.0;
};

struct serving_trace {
    std::vector<traced_job> jobs;
    std::vector<server_fault> faults;
    int servers = 0;
    double horizon = 0.0;

    int slots() const { return servers * 8; }
};

struct trace_options {
    std::uint64_t seed = 1;
    int servers = 10;
    double horizon = 100.0;
    // Load during a burst as a multiple of the capacity, and load between bursts as a share of that load.
    double burst_load = 1.0;
    double idle_share = 0.01;
    double burst_start = 0.0;
    double burst_length = 10.0;
    double burst_period = 50.0;
    // Share of the load that is short work.
    double short_share = 0.4;
    // Standard deviation of the logarithm of the run times within a kind.
    double spread = 0.3;
    // Share of jobs that run 50 times as long as their kind suggests.
    double overlong_share = 0.0005;
    // Factor by which the time to the deadline is multiplied for all jobs.
    double deadline_factor = 1.0;
    bool faults = false;
};

// Generates the jobs of one service in the order of arrival. Half of the declared run times are wrong by a
// factor of up to 10 in either direction.
serving_trace make_trace(const trace_options& options);

}  // namespace masticpass::measure

#endif
