#include "routing/attempt_supervisor.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace masticpass {

namespace {

constexpr absl::Duration minimum_overdue_delay = absl::Milliseconds(500);
constexpr absl::Duration query_timeout = absl::Milliseconds(250);
// Time beyond the timeout of an attempt after which the supervisor ends it. Most attempts are ended by the
// timeouts of their connection before that.
constexpr absl::Duration timeout_tolerance = absl::Milliseconds(100);

}  // namespace

void attempt_supervisor::begin(const attempt_id& attempt, const server_state& server,
                               absl::Duration overdue_after, absl::Duration timeout) {
    const absl::Time now = clock_.now();
    const absl::MutexLock lock(&mutex_);
    monitor_.start(attempt, now + std::max(overdue_after, minimum_overdue_delay),
                   now + timeout + timeout_tolerance);
    attempts_.emplace(attempt, supervised_attempt{server.vm, server.boot, server.address});
}

void attempt_supervisor::finish(const attempt_id& attempt) {
    const absl::MutexLock lock(&mutex_);
    monitor_.remove(attempt);
    attempts_.erase(attempt);
}

void attempt_supervisor::abandon(const attempt_id& attempt) {
    const absl::MutexLock lock(&mutex_);
    monitor_.abandon(attempt, clock_.now());
    attempts_.at(attempt).is_abandoned = true;
}

bool attempt_supervisor::step() {
    const absl::Time now = clock_.now();
    std::vector<attempt_id> timed_out;
    std::optional<attempt_id> overdue;
    supervised_attempt supervised;
    {
        const absl::MutexLock lock(&mutex_);
        timed_out = monitor_.take_timed_out(now);
        overdue = monitor_.next_query(now);
        if (overdue) {
            supervised = attempts_.at(*overdue);
        }
    }
    for (const attempt_id& attempt : timed_out) {
        end(attempt, attempt_end::timeout);
    }
    if (!overdue) {
        return false;
    }
    const auto present = directory_.find(supervised.vm);
    if (supervised.is_abandoned && (!present || present->boot != supervised.boot)) {
        release_slot(*overdue, supervised, "server-gone");
    } else if (present && present->unreachable) {
        // Probes have found that the server does not respond, so no query is sent. Waiting for its response
        // would delay the queries to other servers.
        handle_query_response(*overdue, supervised, attempt_state::not_answered);
    } else {
        query(*overdue, supervised);
    }
    return true;
}

void attempt_supervisor::query(const attempt_id& attempt, const supervised_attempt& supervised) {
    const attempt_state state = backends_.query_attempt(supervised.address, attempt, query_timeout);
    metrics_.count({"masticpass_attempt_questions_total", "answer", std::string(to_string(state))});
    handle_query_response(attempt, supervised, state);
}

void attempt_supervisor::handle_query_response(const attempt_id& attempt,
                                               const supervised_attempt& supervised, attempt_state state) {
    attempt_monitor_action action = attempt_monitor_action::none;
    {
        const absl::MutexLock lock(&mutex_);
        action = monitor_.record_query_response(attempt, state, clock_.now());
    }
    if (action == attempt_monitor_action::end_attempt) {
        end(attempt, attempt_end::connection_silent);
    } else if (action == attempt_monitor_action::release_slot) {
        release_slot(attempt, supervised, state == attempt_state::unknown ? "unknown" : "not-stated");
    }
}

void attempt_supervisor::release_slot(const attempt_id& attempt, const supervised_attempt& supervised,
                                      const char* cause) {
    finish(attempt);
    quota_.release_abandoned_slot(supervised.vm);
    metrics_.count({"masticpass_abandoned_slots_released_total", "cause", cause});
}

void attempt_supervisor::end(const attempt_id& attempt, attempt_end reason) {
    if (backends_.end_attempt(attempt, reason)) {
        const char* label = reason == attempt_end::timeout ? "answer-timeout" : "connection-silent";
        metrics_.count({"masticpass_attempts_ended_total", "reason", label});
    }
}

}  // namespace masticpass
