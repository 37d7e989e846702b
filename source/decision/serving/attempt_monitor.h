#ifndef MASTICPASS_DECISION_SERVING_ATTEMPT_MONITOR_H
#define MASTICPASS_DECISION_SERVING_ATTEMPT_MONITOR_H

#include <optional>
#include <utility>
#include <vector>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "common/attempt_state.h"
#include "common/identifier.h"

namespace masticpass {

struct watch_options {
    // Time between two state queries for an attempt, doubled after each response other than `unknown`. Two
    // responses `unknown` that are this far apart end the attempt.
    absl::Duration initial_interval = absl::Milliseconds(500);
    absl::Duration maximum_interval = absl::Seconds(5);
    // Minimum time between two queries for any attempts, which limits them to 100 per second.
    absl::Duration minimum_query_spacing = absl::Milliseconds(10);
};

enum class attempt_monitor_action {
    none,
    // The connection of the attempt is silent: the attempt is to be ended.
    end_attempt,
    // The server no longer runs the abandoned attempt: its slot is to be released, and it is no longer
    // monitored.
    release_slot,
};

// Decides when a backend server is queried for the state of an attempt, which attempts are ended without a
// response, and how long an abandoned attempt, which ended without one, keeps its slot. A call costs the
// logarithm of the number of attempts. Thread safety: none; the caller holds a lock.
class attempt_monitor {
public:
    explicit attempt_monitor(const watch_options& options = {}) : options_(options) {}

    // Starts monitoring an attempt. It is queried from `first_query_at` on and times out at `times_out_at`.
    // The id must be new.
    void start(const attempt_id& attempt, absl::Time first_query_at, absl::Time times_out_at);

    // Continues to monitor an attempt that ended without a response, until its slot is released. It is
    // queried from `now` on. The attempt must be monitored.
    void abandon(const attempt_id& attempt, absl::Time now);

    // Removes an attempt that has ended or whose slot is released for another reason.
    void remove(const attempt_id& attempt);

    // The attempt to query now, if any; the caller reports the response with `record_query_response`.
    std::optional<attempt_id> next_query(absl::Time now);

    // Records the response to a state query. An attempt that is no longer monitored is ignored.
    [[nodiscard]] attempt_monitor_action record_query_response(const attempt_id& attempt, attempt_state state,
                                                               absl::Time now);

    // The attempts that have timed out; each is returned once.
    std::vector<attempt_id> take_timed_out(absl::Time now);

private:
    struct monitored_attempt {
        absl::Time next_query_at;
        absl::Time times_out_at;
        absl::Duration interval;
        // When the server first responded `unknown`, unless it responded `running` afterwards.
        std::optional<absl::Time> unknown_since;
        bool is_abandoned = false;
    };
    using schedule = absl::btree_set<std::pair<absl::Time, attempt_id>>;

    void schedule_query(const attempt_id& attempt, monitored_attempt& state, absl::Time time);

    watch_options options_;
    absl::Time next_query_at_ = absl::InfinitePast();
    absl::flat_hash_map<attempt_id, monitored_attempt> attempts_;
    schedule queries_;
    schedule timeouts_;
};

}  // namespace masticpass

#endif
