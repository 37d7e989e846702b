#include "standin/backend_state.h"

#include <algorithm>

namespace masticpass::standin {

backend_behaviour backend_state::behaviour() const {
    const absl::MutexLock lock(&mutex_);
    return behaviour_;
}

void backend_state::set_behaviour(const Json::Value& change) {
    const absl::MutexLock lock(&mutex_);
    behaviour_.fail_all = change.get("fail_all", behaviour_.fail_all).asBool();
    behaviour_.leaving = change.get("leaving", behaviour_.leaving).asBool();
    behaviour_.truncate = change.get("truncate", behaviour_.truncate).asBool();
    behaviour_.wrong_attempt_id = change.get("wrong_attempt_id", behaviour_.wrong_attempt_id).asBool();
    behaviour_.late_ms = change.get("late_ms", behaviour_.late_ms).asInt();
}

void backend_state::silence_open_connections() {
    const absl::MutexLock lock(&mutex_);
    silent_ports_.insert(seen_ports_.begin(), seen_ports_.end());
}

void backend_state::wait_while_silent(int remote_port) {
    const absl::MutexLock lock(&mutex_);
    seen_ports_.insert(remote_port);
    if (silent_ports_.contains(remote_port)) {
        mutex_.Await(absl::Condition(&released_));
    }
}

void backend_state::release_silent_connections() {
    const absl::MutexLock lock(&mutex_);
    released_ = true;
}

bool backend_state::begin_job(const std::string& job, int remote_port) {
    const absl::MutexLock lock(&mutex_);
    seen_ports_.insert(remote_port);
    if (running_ >= slots_ || behaviour_.leaving) {
        ++refused_;
        offered_while_leaving_ += behaviour_.leaving ? 1 : 0;
        return false;
    }
    ++running_;
    maximum_running_ = std::max(maximum_running_, running_);
    ++runs_[job];
    return true;
}

void backend_state::end_job(const std::string& job, bool completed) {
    const absl::MutexLock lock(&mutex_);
    --running_;
    completed_ += completed && !job.empty() ? 1 : 0;
}

void backend_state::begin_attempt(const std::string& attempt) {
    const absl::MutexLock lock(&mutex_);
    attempts_.insert(attempt);
}

void backend_state::end_attempt(const std::string& attempt) {
    const absl::MutexLock lock(&mutex_);
    attempts_.erase(attempt);
}

bool backend_state::is_attempt_running(const std::string& attempt) const {
    const absl::MutexLock lock(&mutex_);
    return attempts_.contains(attempt);
}

void backend_state::wait_until_idle() {
    const absl::MutexLock lock(&mutex_);
    mutex_.Await(absl::Condition(this, &backend_state::is_idle));
}

Json::Value backend_state::counters() const {
    const absl::MutexLock lock(&mutex_);
    Json::Value result;
    result["running"] = running_;
    result["most_running"] = maximum_running_;
    result["refused"] = Json::UInt64{refused_};
    result["offered_while_leaving"] = Json::UInt64{offered_while_leaving_};
    result["completed"] = Json::UInt64{completed_};
    result["distinct_jobs"] = Json::UInt64{runs_.size()};
    return result;
}

Json::Value backend_state::runs() const {
    const absl::MutexLock lock(&mutex_);
    Json::Value result(Json::objectValue);
    for (const auto& [job, count] : runs_) {
        result[job] = count;
    }
    return result;
}

}  // namespace masticpass::standin
