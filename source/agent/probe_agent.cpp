#include "agent/probe_agent.h"

#include <utility>

namespace masticpass {

namespace {

constexpr absl::Duration probe_timeout = absl::Milliseconds(250);
// A single lost probe must not take a server out of service.
constexpr int failures_until_unreachable = 2;
// A probe of an unreachable server blocks for the whole timeout, so such a server is probed less often.
constexpr int unreachable_interval_factor = 2;
// If more servers than this are assigned to an entry VM, each is probed in every other round. A probe takes
// 160 bytes, so probing 155 servers in every round would use most of the traffic allowed for control. A
// leaving server is still detected within two intervals.
constexpr std::size_t maximum_probes_per_round = 100;

}  // namespace

probe_agent::probe_agent(backend_client& backends, server_directory& directory, const clock& time_source,
                         metrics_registry& metrics, absl::Duration interval,
                         std::function<std::set<vm_id>(const std::vector<server_state>&)> assigned_vms,
                         std::function<void()> on_leaving)
    : backends_(backends),
      directory_(directory),
      clock_(time_source),
      metrics_(metrics),
      interval_(interval),
      assigned_vms_(std::move(assigned_vms)),
      on_leaving_(std::move(on_leaving)),
      thread_(interval, [this] { probe_all(); }) {}

bool probe_agent::is_due(std::size_t position, std::size_t assigned_count) const {
    return assigned_count <= maximum_probes_per_round || position % 2 == round_ % 2;
}

void probe_agent::probe_all() {
    ++round_;
    std::size_t position = 0;
    const std::vector<server_state> servers = directory_.servers();
    const std::set<vm_id> assigned = assigned_vms_(servers);
    std::map<vm_id, probe_state> current_states;
    for (const server_state& server : servers) {
        if (!assigned.contains(server.vm) && !server.unreachable) {
            continue;
        }
        auto node = states_.extract(server.vm);
        probe_state& state = current_states[server.vm];
        if (!node.empty()) {
            state = node.mapped();
        }
        if (state.boot != server.boot) {
            state = probe_state{server.boot};
        }
        const bool is_due_now = state.consecutive_failures > 0 || is_due(position++, assigned.size());
        if (is_due_now && clock_.now() >= state.next_probe_at) {
            probe(server, state);
        }
    }
    states_ = std::move(current_states);
}

void probe_agent::probe(const server_state& server, probe_state& state) {
    switch (backends_.probe(server.address, probe_timeout)) {
        case probe_result::healthy:
            state.consecutive_failures = 0;
            directory_.set_unreachable(server.vm, false);
            break;
        case probe_result::leaving:
            state.consecutive_failures = 0;
            if (directory_.mark_leaving(server.vm, server.boot)) {
                on_leaving_();
            }
            break;
        case probe_result::unhealthy:
            ++state.consecutive_failures;
            metrics_.count({"masticpass_probe_failures_total", "", ""});
            break;
        case probe_result::not_probed:
            break;
    }
    const bool unreachable = state.consecutive_failures >= failures_until_unreachable;
    if (unreachable) {
        directory_.set_unreachable(server.vm, true);
    }
    state.next_probe_at =
        clock_.now() + (unreachable ? interval_ * unreachable_interval_factor : absl::ZeroDuration());
}

}  // namespace masticpass
