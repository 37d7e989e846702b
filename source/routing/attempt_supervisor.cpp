#include "routing/attempt_supervisor.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace masticpass {

namespace {

constexpr absl::Duration least_suspicion = absl::Milliseconds(500);
constexpr absl::Duration question_time_limit = absl::Milliseconds(250);
// The connection's own timeouts end most attempts at their limit; these are left alone.
constexpr absl::Duration limit_tolerance = absl::Milliseconds(100);

}  // namespace

void attempt_supervisor::begin(const attempt_id& attempt, const std::string& address,
                               absl::Duration suspect_after, absl::Duration time_limit) {
    const absl::Time now = clock_.now();
    const absl::MutexLock lock(&mutex_);
    watch_.begin(attempt, now + std::max(suspect_after, least_suspicion), now + time_limit + limit_tolerance);
    addresses_.emplace(attempt, address);
}

void attempt_supervisor::finish(const attempt_id& attempt) {
    const absl::MutexLock lock(&mutex_);
    watch_.finish(attempt);
    addresses_.erase(attempt);
}

void attempt_supervisor::step() {
    const absl::Time now = clock_.now();
    std::vector<attempt_id> too_long;
    std::optional<attempt_id> overdue;
    std::string address;
    {
        const absl::MutexLock lock(&mutex_);
        too_long = watch_.past_limit(now);
        overdue = watch_.next_question(now);
        if (overdue) {
            address = addresses_.at(*overdue);
        }
    }
    for (const attempt_id& attempt : too_long) {
        end(attempt, attempt_end::time_limit);
    }
    if (overdue) {
        ask(*overdue, address);
    }
}

void attempt_supervisor::ask(const attempt_id& attempt, const std::string& address) {
    const attempt_state state = backends_.ask(address, attempt, question_time_limit);
    metrics_.count({"masticpass_attempt_questions_total", "answer", std::string(to_string(state))});
    bool is_silent = false;
    {
        const absl::MutexLock lock(&mutex_);
        is_silent = watch_.answered(attempt, state, clock_.now());
    }
    if (is_silent) {
        end(attempt, attempt_end::connection_silent);
    }
}

void attempt_supervisor::end(const attempt_id& attempt, attempt_end reason) {
    if (backends_.end_attempt(attempt, reason)) {
        const char* label = reason == attempt_end::time_limit ? "answer-timeout" : "connection-silent";
        metrics_.count({"masticpass_attempts_ended_total", "reason", label});
    }
}

}  // namespace masticpass
