#ifndef MASTICPASS_DECISION_SERVING_ATTEMPT_WATCH_H
#define MASTICPASS_DECISION_SERVING_ATTEMPT_WATCH_H

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
    // Time between two questions about an attempt, doubled after each answer that is not `unknown`. Two
    // answers `unknown` that are this far apart end the attempt.
    absl::Duration first_interval = absl::Milliseconds(500);
    absl::Duration longest_interval = absl::Seconds(5);
    // Time between two questions about any attempts, which bounds them to 100 a second.
    absl::Duration question_spacing = absl::Milliseconds(10);
};

// Decides when a backend server is asked for the state of an attempt in flight, and which attempts are ended
// without a response. A call costs the logarithm of the number of attempts. Thread safety: none; the caller
// holds a lock.
class attempt_watch {
public:
    explicit attempt_watch(const watch_options& options = {}) : options_(options) {}

    // Watches an attempt that is asked about from `overdue` on and ended at `limit`. The id must be new.
    void begin(const attempt_id& attempt, absl::Time overdue, absl::Time limit);

    // Forgets an attempt that has ended.
    void finish(const attempt_id& attempt);

    // The attempt to ask about now, if any; the caller reports the answer with `answered`.
    std::optional<attempt_id> next_question(absl::Time now);

    // Takes an answer; true if the attempt is to be ended because its connection is silent. An attempt that
    // has ended meanwhile is ignored.
    [[nodiscard]] bool answered(const attempt_id& attempt, attempt_state state, absl::Time now);

    // The attempts whose limit has passed; each is returned once.
    std::vector<attempt_id> past_limit(absl::Time now);

private:
    struct watched {
        absl::Time next_question;
        absl::Time limit;
        absl::Duration interval;
        // When the server first answered `unknown`, unless it answered `running` afterwards.
        std::optional<absl::Time> unknown_since;
    };
    using schedule = absl::btree_set<std::pair<absl::Time, attempt_id>>;

    void ask_at(const attempt_id& attempt, watched& state, absl::Time time);

    const watch_options options_;
    absl::Time next_question_ = absl::InfinitePast();
    absl::flat_hash_map<attempt_id, watched> attempts_;
    schedule questions_;
    schedule limits_;
};

}  // namespace masticpass

#endif
