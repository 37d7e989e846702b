#include "decision/serving/attempt_monitor.h"

#include <algorithm>

#include "common/invariant.h"

namespace masticpass {

void attempt_monitor::start(const attempt_id& attempt, absl::Time first_query_at, absl::Time times_out_at) {
    const auto [found, added] = attempts_.try_emplace(
        attempt, monitored_attempt{first_query_at, times_out_at, options_.initial_interval, std::nullopt});
    check_invariant(added, "the id of a started attempt is new to the monitor");
    queries_.emplace(first_query_at, attempt);
    timeouts_.emplace(times_out_at, attempt);
}

void attempt_monitor::abandon(const attempt_id& attempt, absl::Time now) {
    const auto found = attempts_.find(attempt);
    check_invariant(found != attempts_.end(), "an abandoned attempt is monitored");
    monitored_attempt& own = found->second;
    own.is_abandoned = true;
    own.interval = options_.initial_interval;
    timeouts_.erase({own.times_out_at, attempt});
    schedule_query(attempt, own, now);
}

void attempt_monitor::remove(const attempt_id& attempt) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    queries_.erase({found->second.next_query_at, attempt});
    timeouts_.erase({found->second.times_out_at, attempt});
    attempts_.erase(found);
}

std::optional<attempt_id> attempt_monitor::next_query(absl::Time now) {
    if (queries_.empty() || queries_.begin()->first > now || next_query_at_ > now) {
        return std::nullopt;
    }
    next_query_at_ = now + options_.minimum_query_spacing;
    attempt_id attempt = queries_.begin()->second;
    queries_.erase(queries_.begin());
    return attempt;
}

attempt_monitor_action attempt_monitor::record_query_response(const attempt_id& attempt, attempt_state state,
                                                              absl::Time now) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return attempt_monitor_action::none;
    }
    monitored_attempt& own = found->second;
    const bool is_released = state == attempt_state::unknown || state == attempt_state::not_stated;
    if (own.is_abandoned && is_released) {
        remove(attempt);
        return attempt_monitor_action::release_slot;
    }
    if (state == attempt_state::not_stated) {
        return attempt_monitor_action::none;
    }
    if (state == attempt_state::unknown) {
        const bool is_silent = own.unknown_since && now - *own.unknown_since >= options_.initial_interval;
        if (!own.unknown_since) {
            own.unknown_since = now;
        }
        schedule_query(attempt, own, now + options_.initial_interval);
        return is_silent ? attempt_monitor_action::end_attempt : attempt_monitor_action::none;
    }
    if (state == attempt_state::running) {
        own.unknown_since.reset();
    }
    schedule_query(attempt, own, now + own.interval);
    own.interval = std::min(own.interval * 2, options_.maximum_interval);
    return attempt_monitor_action::none;
}

std::vector<attempt_id> attempt_monitor::take_timed_out(absl::Time now) {
    std::vector<attempt_id> result;
    while (!timeouts_.empty() && timeouts_.begin()->first <= now) {
        result.push_back(timeouts_.begin()->second);
        timeouts_.erase(timeouts_.begin());
    }
    return result;
}

void attempt_monitor::schedule_query(const attempt_id& attempt, monitored_attempt& state, absl::Time time) {
    queries_.erase({state.next_query_at, attempt});
    state.next_query_at = time;
    queries_.emplace(time, attempt);
}

}  // namespace masticpass
