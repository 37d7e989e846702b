#ifndef MASTICPASS_SOAK_SOAK_RUN_H
#define MASTICPASS_SOAK_SOAK_RUN_H

#include <string>
#include <vector>

#include <absl/time/time.h>

namespace masticpass::soak {

struct soak_options {
    unsigned seed = 1;
    int entries = 3;
    absl::Duration fault_duration = absl::Seconds(8);
    // Every accepted job has to be complete this long after the last fault: the leases of an earlier owner,
    // an election and the jobs that have gathered.
    absl::Duration recovery_timeout = absl::Seconds(40);
    // Logs of the processes are kept here; empty for a folder that is removed.
    std::string folder = {};
};

struct soak_result {
    int accepted = 0;
    int refused = 0;
    int faults = 0;
    int starts = 0;
    // Broken promises; empty if all were kept.
    std::vector<std::string> violations = {};
};

// Runs entry VMs as processes against a stand-in of the users' platform, injects faults from outside in an
// order that the seed decides, and checks what callers and workers see.
soak_result run_soak(const soak_options& options);

}  // namespace masticpass::soak

#endif
