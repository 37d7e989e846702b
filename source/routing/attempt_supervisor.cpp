#include "routing/attempt_supervisor.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace masticpass {

namespace {

constexpr absl::Duration least_suspicion = absl::Milliseconds(500);
constexpr absl::Duration question_timeout = absl::Milliseconds(250);
// The connection's own timeouts end most attempts at their limit; these are left alone.
constexpr absl::Duration timeout_tolerance = absl::Milliseconds(100);

}  // namespace

void attempt_supervisor::begin(const attempt_id& attempt, const server_state& server,
                               absl::Duration overdue_after, absl::Duration timeout) {
    const absl::Time now = clock_.now();
    const absl::MutexLock lock(&mutex_);
    watch_.start(attempt, now + std::max(overdue_after, least_suspicion), now + timeout + timeout_tolerance);
    servers_.emplace(attempt, attempt_server{server.vm, server.boot, server.address});
}

void attempt_supervisor::finish(const attempt_id& attempt) {
    const absl::MutexLock lock(&mutex_);
    watch_.remove(attempt);
    servers_.erase(attempt);
}

void attempt_supervisor::abandon(const attempt_id& attempt) {
    const absl::MutexLock lock(&mutex_);
    watch_.abandon(attempt, clock_.now());
    servers_.at(attempt).is_abandoned = true;
}

bool attempt_supervisor::step() {
    const absl::Time now = clock_.now();
    std::vector<attempt_id> too_long;
    std::optional<attempt_id> overdue;
    attempt_server server;
    {
        const absl::MutexLock lock(&mutex_);
        too_long = watch_.take_timed_out(now);
        overdue = watch_.next_query(now);
        if (overdue) {
            server = servers_.at(*overdue);
        }
    }
    for (const attempt_id& attempt : too_long) {
        end(attempt, attempt_end::timeout);
    }
    if (!overdue) {
        return false;
    }
    const auto present = directory_.find(server.vm);
    if (server.is_abandoned && (!present || present->boot != server.boot)) {
        release(*overdue, server, "server-gone");
    } else if (present && present->unreachable) {
        // The answer of the probes, without a wait that would delay the questions to other servers.
        take_answer(*overdue, server, attempt_state::not_answered);
    } else {
        ask(*overdue, server);
    }
    return true;
}

void attempt_supervisor::ask(const attempt_id& attempt, const attempt_server& server) {
    const attempt_state state = backends_.ask(server.address, attempt, question_timeout);
    metrics_.count({"masticpass_attempt_questions_total", "answer", std::string(to_string(state))});
    take_answer(attempt, server, state);
}

void attempt_supervisor::take_answer(const attempt_id& attempt, const attempt_server& server,
                                     attempt_state state) {
    attempt_monitor_action action = attempt_monitor_action::none;
    {
        const absl::MutexLock lock(&mutex_);
        action = watch_.record_answer(attempt, state, clock_.now());
    }
    if (action == attempt_monitor_action::end_attempt) {
        end(attempt, attempt_end::connection_silent);
    } else if (action == attempt_monitor_action::release_slot) {
        release(attempt, server, state == attempt_state::unknown ? "unknown" : "not-stated");
    }
}

void attempt_supervisor::release(const attempt_id& attempt, const attempt_server& server, const char* cause) {
    finish(attempt);
    ledger_.release_abandoned_slot(server.vm);
    metrics_.count({"masticpass_abandoned_slots_released_total", "cause", cause});
}

void attempt_supervisor::end(const attempt_id& attempt, attempt_end reason) {
    if (backends_.end_attempt(attempt, reason)) {
        const char* label = reason == attempt_end::timeout ? "answer-timeout" : "connection-silent";
        metrics_.count({"masticpass_attempts_ended_total", "reason", label});
    }
}

}  // namespace masticpass
