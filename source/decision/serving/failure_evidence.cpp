#include "decision/serving/failure_evidence.h"

#include <algorithm>

namespace masticpass {
namespace {

// Below this weight an outcome is too old to count.
constexpr double least_weight = 0.2;

}  // namespace

failure_evidence::failure_evidence(evidence_options options) : options_(options) {}

void failure_evidence::record(const vm_id& server, const job_kind& kind, bool succeeded, absl::Time now) {
    if (!kinds_.contains(kind) && kinds_.size() >= options_.largest_kinds) {
        forget_least_recent();
    }
    kind_record& record = kinds_[kind];
    record.last_recorded = now;
    outcome_count& count = record.servers[server];
    (succeeded ? count.succeeded : count.failed).add(1.0, now, options_.memory);
    std::deque<attempt>& last = last_attempts_[server];
    last.push_back({.kind = kind, .succeeded = succeeded, .ended = now});
    if (last.size() > options_.last_attempts) {
        last.pop_front();
    }
}

bool failure_evidence::is_failing(const vm_id& server, absl::Time now) const {
    const auto last = last_attempts_.find(server);
    if (last == last_attempts_.end()) {
        return false;
    }
    std::size_t failed = 0;
    std::size_t judged = 0;
    for (const attempt& each : last->second) {
        const auto record = kinds_.find(each.kind);
        if (now - each.ended > options_.memory || record == kinds_.end()) {
            continue;
        }
        if (each.succeeded) {
            ++judged;
        } else if (!is_faulty(record->second, now) && succeeds_elsewhere(record->second, server, now)) {
            ++judged;
            ++failed;
        }
    }
    return judged >= options_.least_attempts &&
           static_cast<double>(failed) >= options_.failure_ratio * static_cast<double>(judged);
}

bool failure_evidence::is_faulty(const job_kind& kind, absl::Time now) const {
    const auto found = kinds_.find(kind);
    return found != kinds_.end() && is_faulty(found->second, now);
}

void failure_evidence::forget(const vm_id& server) {
    last_attempts_.erase(server);
    for (auto& [kind, record] : kinds_) {
        record.servers.erase(server);
    }
}

bool failure_evidence::is_faulty(const kind_record& record, absl::Time now) const {
    std::size_t failing = 0;
    std::size_t succeeding = 0;
    for (const auto& [server, count] : record.servers) {
        const double failed = count.failed.value(now, options_.memory);
        const double succeeded = count.succeeded.value(now, options_.memory);
        if (failed + succeeded < least_weight) {
            continue;
        }
        ++(failed >= options_.failure_ratio * (failed + succeeded) ? failing : succeeding);
    }
    // Several failing servers do not make a kind responsible that succeeds on more of them.
    return failing >= options_.servers_to_blame_kind && failing > succeeding;
}

bool failure_evidence::succeeds_elsewhere(const kind_record& record, const vm_id& server,
                                          absl::Time now) const {
    return std::any_of(record.servers.begin(), record.servers.end(), [&](const auto& other) {
        return other.first != server && other.second.succeeded.value(now, options_.memory) >= least_weight;
    });
}

void failure_evidence::forget_least_recent() {
    const auto oldest = std::min_element(kinds_.begin(), kinds_.end(), [](const auto& a, const auto& b) {
        return a.second.last_recorded < b.second.last_recorded;
    });
    kinds_.erase(oldest);
}

}  // namespace masticpass
