#include "decision/serving/attempt_watch.h"

#include <algorithm>

#include "common/invariant.h"

namespace masticpass {

void attempt_watch::begin(const attempt_id& attempt, absl::Time overdue, absl::Time limit) {
    const auto [found, added] =
        attempts_.try_emplace(attempt, watched{overdue, limit, options_.first_interval, std::nullopt});
    check_invariant(added, "a watched attempt has a new id");
    questions_.emplace(overdue, attempt);
    limits_.emplace(limit, attempt);
}

void attempt_watch::abandon(const attempt_id& attempt, absl::Time now) {
    const auto found = attempts_.find(attempt);
    check_invariant(found != attempts_.end(), "an abandoned attempt is watched");
    watched& own = found->second;
    own.is_abandoned = true;
    own.interval = options_.first_interval;
    limits_.erase({own.limit, attempt});
    ask_at(attempt, own, now);
}

void attempt_watch::finish(const attempt_id& attempt) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    questions_.erase({found->second.next_question, attempt});
    limits_.erase({found->second.limit, attempt});
    attempts_.erase(found);
}

std::optional<attempt_id> attempt_watch::next_question(absl::Time now) {
    if (questions_.empty() || questions_.begin()->first > now || next_question_ > now) {
        return std::nullopt;
    }
    next_question_ = now + options_.question_spacing;
    attempt_id attempt = questions_.begin()->second;
    questions_.erase(questions_.begin());
    return attempt;
}

watch_action attempt_watch::answered(const attempt_id& attempt, attempt_state state, absl::Time now) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return watch_action::none;
    }
    watched& own = found->second;
    const bool is_released = state == attempt_state::unknown || state == attempt_state::not_stated;
    if (own.is_abandoned && is_released) {
        finish(attempt);
        return watch_action::release_slot;
    }
    if (state == attempt_state::not_stated) {
        return watch_action::none;
    }
    if (state == attempt_state::unknown) {
        const bool is_silent = own.unknown_since && now - *own.unknown_since >= options_.first_interval;
        if (!own.unknown_since) {
            own.unknown_since = now;
        }
        ask_at(attempt, own, now + options_.first_interval);
        return is_silent ? watch_action::end_attempt : watch_action::none;
    }
    if (state == attempt_state::running) {
        own.unknown_since.reset();
    }
    ask_at(attempt, own, now + own.interval);
    own.interval = std::min(own.interval * 2, options_.longest_interval);
    return watch_action::none;
}

std::vector<attempt_id> attempt_watch::past_limit(absl::Time now) {
    std::vector<attempt_id> result;
    while (!limits_.empty() && limits_.begin()->first <= now) {
        result.push_back(limits_.begin()->second);
        limits_.erase(limits_.begin());
    }
    return result;
}

void attempt_watch::ask_at(const attempt_id& attempt, watched& state, absl::Time time) {
    questions_.erase({state.next_question, attempt});
    state.next_question = time;
    questions_.emplace(time, attempt);
}

}  // namespace masticpass
