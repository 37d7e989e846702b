#ifndef MASTICPASS_MEASURE_PROCESS_USAGE_H
#define MASTICPASS_MEASURE_PROCESS_USAGE_H

#include <absl/time/time.h>
#include <sys/types.h>

namespace masticpass::measure {

// The resources of a process: the CPU time since its start, and its current and peak memory.
struct process_usage {
    absl::Duration cpu_time = absl::ZeroDuration();
    double resident_kilobytes = 0.0;
    double peak_resident_kilobytes = 0.0;
    int threads = 0;
};

// Reads the usage of a process. All members are 0 if there is no such process.
process_usage usage_of(pid_t id);

}  // namespace masticpass::measure

#endif
