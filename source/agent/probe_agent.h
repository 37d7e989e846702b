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

// Probes the health of the zone's backend servers and records the results in the server directory. Each
// server is assigned to one of the zone's entry VMs. In addition, this entry VM probes every server that its
// directory marks as unreachable.
// Ownership: owns one thread; borrows everything passed in.
// Thread safety: construct and destroy on one thread.
class probe_agent {
public:
    // `assigned_vms` is called once per round and returns the VMs that this entry VM has to probe.
    // `on_leaving` is called when a probe is the first to show that a server is leaving. Both are called on
    // the agent's thread.
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

    // Returns whether an assigned server is probed in this round. `position` is its index among the assigned
    // servers.
    bool is_due(std::size_t position, std::size_t assigned_count) const;
    void probe_all();
    void probe(const server_state& server, probe_state& state);

    backend_client& backends_;
    server_directory& directory_;
    const clock& clock_;
    metrics_registry& metrics_;
    const absl::Duration interval_;
    const std::function<std::set<vm_id>(const std::vector<server_state>&)> assigned_vms_;
    // Used only by the agent's thread.
    std::map<vm_id, probe_state> states_;
    const std::function<void()> on_leaving_;
    std::uint64_t round_ = 0;
    periodic_thread thread_;
};

}  // namespace masticpass

#endif
