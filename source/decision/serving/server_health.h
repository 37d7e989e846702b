#ifndef MASTICPASS_DECISION_SERVING_SERVER_HEALTH_H
#define MASTICPASS_DECISION_SERVING_SERVER_HEALTH_H

#include <cstddef>
#include <optional>

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <absl/types/span.h>

#include "common/identifier.h"
#include "decision/serving/failure_statistics.h"
#include "decision/serving/leaving_servers.h"

namespace masticpass {

struct server_health_options {
    failure_statistics_options failure_statistics;
    // Time from an ejection to the first probe; doubled for an ejection soon after the previous one.
    absl::Duration initial_backoff = absl::Seconds(2);
    absl::Duration maximum_backoff = absl::Minutes(5);
    // Time from a failed probe to the next. It is constant because a probe is cheap and a late probe leaves
    // slots unused after the server has recovered.
    absl::Duration probe_interval = absl::Seconds(2);
    // At most one in this many servers is ejected at a time.
    std::size_t servers_per_ejection = 3;
};

// Decides which servers of one service in one zone get work. A server is ejected when it often fails job
// kinds that succeed elsewhere, and is reinstated after a successful probe. Thread safety: none; the caller
// holds a lock. `now` must not decrease between calls.
class server_health {
public:
    explicit server_health(server_health_options options = {});

    // Replaces the set of servers. Reinstates the earliest ejected ones if too many of the rest are ejected.
    void update_servers(absl::Span<const vm_id> servers);

    // Records an attempt. A refusal that says that the server is leaving or full is not a failure.
    void attempt_ended(const vm_id& server, const job_kind& kind, bool succeeded, absl::Time now);

    bool is_ejected(const vm_id& server) const;
    // Neither ejected nor leaving, and one of the servers.
    bool accepts_work(const vm_id& server) const;
    // Whether the kind itself is considered faulty; its requests are to be refused meanwhile.
    bool is_kind_faulty(const job_kind& kind, absl::Time now) const {
        return failure_statistics_.is_faulty(kind, now);
    }

    // An ejected server whose backoff has elapsed. It is not returned again before probe_ended.
    [[nodiscard]] std::optional<vm_id> next_probe(absl::Time now);
    void probe_ended(const vm_id& server, bool succeeded, absl::Time now);

    leaving_servers& leaving() { return leaving_; }
    std::size_t ejected() const { return ejected_; }
    std::vector<vm_id> ejected_servers() const;
    std::size_t maximum_ejected() const { return servers_.size() / options_.servers_per_ejection; }

private:
    struct server_state {
        bool ejected = false;
        bool probing = false;
        absl::Time ejected_at = absl::InfinitePast();
        absl::Time probe_at = absl::InfiniteFuture();
        // The backoff of the next ejection.
        absl::Duration next_backoff;
    };

    void eject(server_state& state, absl::Time now);
    void reinstate(const vm_id& server, server_state& state);

    server_health_options options_;
    failure_statistics failure_statistics_;
    leaving_servers leaving_;
    absl::flat_hash_map<vm_id, server_state> servers_;
    std::size_t ejected_ = 0;
};

}  // namespace masticpass

#endif
