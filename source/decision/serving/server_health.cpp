#include "decision/serving/server_health.h"

#include <algorithm>

#include <absl/container/flat_hash_set.h>

namespace masticpass {
namespace {

// An ejection later than this many backoffs after the previous one starts with the initial backoff again.
constexpr int backoff_reset_factor = 10;

}  // namespace

server_health::server_health(server_health_options options)
    : options_(options), failure_statistics_(options.failure_statistics) {}

void server_health::update_servers(absl::Span<const vm_id> servers) {
    const absl::flat_hash_set<vm_id> kept(servers.begin(), servers.end());
    absl::erase_if(servers_, [&](const auto& each) {
        if (kept.contains(each.first)) {
            return false;
        }
        ejected_ -= each.second.ejected ? 1 : 0;
        failure_statistics_.forget(each.first);
        return true;
    });
    for (const vm_id& server : kept) {
        servers_.try_emplace(server, server_state{.next_backoff = options_.initial_backoff});
    }
    while (ejected_ > maximum_ejected()) {
        const auto first =
            std::min_element(servers_.begin(), servers_.end(), [](const auto& a, const auto& b) {
                return std::pair(!a.second.ejected, a.second.ejected_at) <
                       std::pair(!b.second.ejected, b.second.ejected_at);
            });
        reinstate(first->first, first->second);
    }
}

void server_health::attempt_ended(const vm_id& server, const job_kind& kind, bool succeeded, absl::Time now) {
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    failure_statistics_.record(server, kind, succeeded, now);
    if (!succeeded && !found->second.ejected && ejected_ < maximum_ejected() &&
        failure_statistics_.is_failing(server, now)) {
        eject(found->second, now);
    }
}

std::vector<vm_id> server_health::ejected_servers() const {
    std::vector<vm_id> result;
    if (ejected_ == 0) {
        return result;
    }
    for (const auto& [server, state] : servers_) {
        if (state.ejected) {
            result.push_back(server);
        }
    }
    return result;
}

bool server_health::is_ejected(const vm_id& server) const {
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.ejected;
}

bool server_health::accepts_work(const vm_id& server) const {
    return servers_.contains(server) && !is_ejected(server) && !leaving_.is_leaving(server);
}

std::optional<vm_id> server_health::next_probe(absl::Time now) {
    for (auto& [server, state] : servers_) {
        if (state.ejected && !state.probing && state.probe_at <= now) {
            state.probing = true;
            return server;
        }
    }
    return std::nullopt;
}

void server_health::probe_ended(const vm_id& server, bool succeeded, absl::Time now) {
    const auto found = servers_.find(server);
    if (found == servers_.end() || !found->second.ejected) {
        return;
    }
    found->second.probing = false;
    if (succeeded) {
        reinstate(server, found->second);
        return;
    }
    found->second.probe_at = now + options_.probe_interval;
}

void server_health::eject(server_state& state, absl::Time now) {
    if (now - state.ejected_at > state.next_backoff * backoff_reset_factor) {
        state.next_backoff = options_.initial_backoff;
    }
    state.ejected = true;
    state.probing = false;
    state.ejected_at = now;
    state.probe_at = now + state.next_backoff;
    state.next_backoff = std::min(state.next_backoff * 2, options_.maximum_backoff);
    ++ejected_;
}

void server_health::reinstate(const vm_id& server, server_state& state) {
    state.ejected = false;
    state.probing = false;
    failure_statistics_.forget(server);
    --ejected_;
}

}  // namespace masticpass
