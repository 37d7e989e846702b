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
    // Time after the last fault within which every accepted job must be complete. It covers the leases of the
    // previous owner, an election and the backlog of jobs.
    absl::Duration recovery_timeout = absl::Seconds(40);
    // Folder in which the logs of the processes are kept. If empty, a temporary folder is used and removed.
    std::string folder = {};
};

struct soak_result {
    int accepted = 0;
    int refused = 0;
    int faults = 0;
    int starts = 0;
    // Descriptions of broken promises; empty if all were kept.
    std::vector<std::string> violations = {};
};

// Runs entry VMs as processes against a model of the users' platform, injects faults from outside the
// processes in an order that the seed determines, and checks what callers and workers observe.
soak_result run_soak(const soak_options& options);

}  // namespace masticpass::soak

#endif
