#ifndef MASTICPASS_MEASURE_SUPPORT_SERVING_TRACE_H
#define MASTICPASS_MEASURE_SUPPORT_SERVING_TRACE_H

#include <cstdint>
#include <string>
#include <vector>

namespace masticpass::measure {

// Times in seconds from the start of the run.
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

// A server that fails all attempts within the interval.
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
    // Load in a burst as a multiple of the capacity, and the load between bursts as a share of that in a
    // burst.
    double burst_load = 1.0;
    double idle_share = 0.01;
    double burst_start = 0.0;
    double burst_length = 10.0;
    double burst_period = 50.0;
    // Share of the load that is short work.
    double short_share = 0.4;
    // Spread of the run time within a kind, as the standard deviation of its logarithm.
    double spread = 0.3;
    // Share of jobs that run 50 times longer than their kind.
    double overlong_share = 0.0005;
    // Deadlines of short and long work, as factors on the ranges of the default trace.
    double deadline_factor = 1.0;
    bool faults = false;
};

// Jobs of one service in the order of arrival. Half of the declared run times are off by a factor of up to 10
// in either direction.
serving_trace make_trace(const trace_options& options);

}  // namespace masticpass::measure

#endif
