#ifndef MASTICPASS_AGENT_PROBE_AGENT_H
#define MASTICPASS_AGENT_PROBE_AGENT_H

#include <functional>
#include <map>
#include <set>
#include <vector>

#include <absl/time/time.h>

#include "agent/periodic_thread.h"
#include "backend/backend_client.h"
#include "common/clock.h"
#include "routing/server_directory.h"
#include "telemetry/metrics.h"

namespace masticpass {

// Probes the health of the zone's backend servers and records what it finds in the directory. The servers are
// divided among the zone's entry VMs; a server that anyone reports as unreachable is probed by all.
// Ownership: owns one thread; borrows everything passed in.
// Thread safety: construct and destroy on one thread.
class probe_agent {
public:
    // `own_share` picks the VMs that this entry VM has to probe, once a round. `found_leaving` is called when
    // a probe shows first that a server is leaving. Both are called on the agent's thread.
    probe_agent(backend_client& backends, server_directory& directory, const clock& time_source,
                metrics_registry& metrics, absl::Duration interval,
                std::function<std::set<vm_id>(const std::vector<server_state>&)> assigned_vms,
                std::function<void()> on_leaving);

private:
    struct probe_state {
        boot_id boot;
        int consecutive_failures = 0;
        absl::Time next_probe_at = absl::InfinitePast();
    };

    bool is_due(std::size_t position, std::size_t assigned_count) const;
    void probe_all();
    void probe(const server_state& server, probe_state& state);

    backend_client& backends_;
    server_directory& directory_;
    const clock& clock_;
    metrics_registry& metrics_;
    const absl::Duration interval_;
    const std::function<std::set<vm_id>(const std::vector<server_state>&)> assigned_vms_;
    // Used by the agent's thread only.
    std::map<vm_id, probe_state> states_;
    const std::function<void()> on_leaving_;
    std::uint64_t round_ = 0;
    periodic_thread thread_;
};

}  // namespace masticpass

#endif
