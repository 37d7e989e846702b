#include "decision/serving/failure_statistics.h"

#include <algorithm>

namespace masticpass {
namespace {

// Below this weight an outcome is too old to count.
constexpr double minimum_weight = 0.2;

}  // namespace

failure_statistics::failure_statistics(failure_statistics_options options) : options_(options) {}

void failure_statistics::record(const vm_id& server, const job_kind& kind, bool succeeded, absl::Time now) {
    if (!kinds_.contains(kind) && kinds_.size() >= options_.maximum_kinds) {
        evict_least_recent_kind();
    }
    kind_record& record = kinds_[kind];
    record.last_recorded = now;
    outcome_count& count = record.servers[server];
    (succeeded ? count.succeeded : count.failed).add(1.0, now, options_.decay_time);
    std::deque<attempt>& last = recent_attempts_[server];
    last.push_back({.kind = kind, .succeeded = succeeded, .ended = now});
    if (last.size() > options_.maximum_recent_attempts) {
        last.pop_front();
    }
}

bool failure_statistics::is_failing(const vm_id& server, absl::Time now) const {
    const auto last = recent_attempts_.find(server);
    if (last == recent_attempts_.end()) {
        return false;
    }
    std::size_t failed = 0;
    std::size_t judged = 0;
    for (const attempt& each : last->second) {
        const auto record = kinds_.find(each.kind);
        if (now - each.ended > options_.decay_time || record == kinds_.end()) {
            continue;
        }
        if (each.succeeded) {
            ++judged;
        } else if (!is_faulty(record->second, now) && succeeds_elsewhere(record->second, server, now)) {
            ++judged;
            ++failed;
        }
    }
    return judged >= options_.minimum_recent_attempts &&
           static_cast<double>(failed) >= options_.failure_ratio * static_cast<double>(judged);
}

bool failure_statistics::is_faulty(const job_kind& kind, absl::Time now) const {
    const auto found = kinds_.find(kind);
    return found != kinds_.end() && is_faulty(found->second, now);
}

void failure_statistics::forget(const vm_id& server) {
    recent_attempts_.erase(server);
    for (auto& [kind, record] : kinds_) {
        record.servers.erase(server);
    }
}

bool failure_statistics::is_faulty(const kind_record& record, absl::Time now) const {
    std::size_t failing = 0;
    std::size_t succeeding = 0;
    for (const auto& [server, count] : record.servers) {
        const double failed = count.failed.value(now, options_.decay_time);
        const double succeeded = count.succeeded.value(now, options_.decay_time);
        if (failed + succeeded < minimum_weight) {
            continue;
        }
        ++(failed >= options_.failure_ratio * (failed + succeeded) ? failing : succeeding);
    }
    // A kind that succeeds on more servers than it fails on is not considered faulty.
    return failing >= options_.minimum_failing_servers_of_faulty_kind && failing > succeeding;
}

bool failure_statistics::succeeds_elsewhere(const kind_record& record, const vm_id& server,
                                            absl::Time now) const {
    return std::any_of(record.servers.begin(), record.servers.end(), [&](const auto& other) {
        return other.first != server &&
               other.second.succeeded.value(now, options_.decay_time) >= minimum_weight;
    });
}

void failure_statistics::evict_least_recent_kind() {
    const auto oldest = std::min_element(kinds_.begin(), kinds_.end(), [](const auto& a, const auto& b) {
        return a.second.last_recorded < b.second.last_recorded;
    });
    kinds_.erase(oldest);
}

}  // namespace masticpass
