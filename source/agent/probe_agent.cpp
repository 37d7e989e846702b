#include "agent/probe_agent.h"

#include <utility>

namespace masticpass {

namespace {

constexpr absl::Duration probe_time_limit = absl::Milliseconds(250);
// One lost probe does not take a server out of use.
constexpr int failures_until_unreachable = 2;
// An unreachable server takes the whole time limit of a probe, so it is probed less often.
constexpr int unreachable_interval_factor = 2;

}  // namespace

probe_agent::probe_agent(backend_client& backends, server_directory& directory, const clock& time_source,
                         metrics_registry& metrics, absl::Duration interval,
                         std::function<std::set<vm_id>(const std::vector<server_state>&)> own_share)
    : backends_(backends),
      directory_(directory),
      clock_(time_source),
      metrics_(metrics),
      interval_(interval),
      own_share_(std::move(own_share)),
      thread_(interval, [this] { probe_all(); }) {}

void probe_agent::probe_all() {
    const std::vector<server_state> servers = directory_.servers();
    const std::set<vm_id> share = own_share_(servers);
    std::map<vm_id, probe_state> present;
    for (const server_state& server : servers) {
        if (!share.contains(server.vm) && !server.unreachable) {
            continue;
        }
        auto node = states_.extract(server.vm);
        probe_state& state = present[server.vm];
        if (!node.empty()) {
            state = node.mapped();
        }
        if (state.boot != server.boot) {
            state = probe_state{server.boot};
        }
        if (clock_.now() >= state.next) {
            probe(server, state);
        }
    }
    states_ = std::move(present);
}

void probe_agent::probe(const server_state& server, probe_state& state) {
    switch (backends_.probe(server.address, probe_time_limit)) {
        case probe_result::healthy:
            state.failures = 0;
            directory_.set_unreachable(server.vm, false);
            break;
        case probe_result::leaving:
            state.failures = 0;
            directory_.mark_leaving(server.vm, server.boot);
            break;
        case probe_result::unhealthy:
            ++state.failures;
            metrics_.count({"masticpass_probe_failures_total", "", ""});
            break;
        case probe_result::not_probed:
            break;
    }
    const bool unreachable = state.failures >= failures_until_unreachable;
    if (unreachable) {
        directory_.set_unreachable(server.vm, true);
    }
    state.next =
        clock_.now() + (unreachable ? interval_ * unreachable_interval_factor : absl::ZeroDuration());
}

}  // namespace masticpass
