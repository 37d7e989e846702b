#include "decision/serving/request_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace masticpass {
namespace {

// Keep the logarithm of the worth per slot-second finite for kinds with almost no run time or no worth.
constexpr double minimum_seconds = 0.001;
constexpr double minimum_worth = 1e-9;
// Time constant of the exponential discount for the time left until the latest start. With a longer time,
// valuable work is served too early and other work expires that could have been served before it. A shorter
// time approaches ordering by deadline alone.
constexpr double discount_seconds = 2.0;
// Approximate length of a burst. Work that can wait longer is likely to be served after the burst.
constexpr double burst_seconds = 10.0;

}  // namespace

double queued_request::log_worth_density() const {
    const double seconds = std::max(minimum_seconds, absl::ToDoubleSeconds(estimate.expected));
    return std::log(std::max(minimum_worth, description.worth) / seconds);
}

double queued_request::retention_priority() const {
    return log_worth_density() + absl::ToDoubleSeconds(latest_start() - absl::UnixEpoch()) / burst_seconds;
}

double queued_request::dispatch_rank() const {
    return absl::ToDoubleSeconds(latest_start() - absl::UnixEpoch()) / discount_seconds - log_worth_density();
}

double queued_request::dispatch_value(absl::Time now) const {
    return absl::ToDoubleSeconds(now - absl::UnixEpoch()) / discount_seconds - dispatch_rank();
}

bool request_queue::sort_entry::operator<(const sort_entry& other) const {
    return std::tie(not_urgent, key, sequence) < std::tie(other.not_urgent, other.key, other.sequence);
}

const queued_request& request_queue::insert(queued_request request) {
    auto owned = std::make_unique<queued_request>(std::move(request));
    const queued_request& entry = *owned;
    requests_.emplace(entry.description.id, std::move(owned));
    by_dispatch_rank_[class_index(entry.estimate.size)].insert(dispatch_rank_entry(entry));
    if (entry.estimate.size == size_class::short_work) {
        by_submission_.insert(submission_entry(entry));
    }
    by_latest_start_.insert(latest_start_entry(entry));
    by_retention_priority_.insert(retention_priority_entry(entry));
    expected_slot_time_[class_index(entry.estimate.size)] += entry.estimate.expected;
    bytes_ += entry.description.bytes;
    return entry;
}

const queued_request* request_queue::find(const request_id& id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : found->second.get();
}

queued_request request_queue::take(const request_id& id) {
    const auto found = requests_.find(id);
    const std::unique_ptr<queued_request> owned = std::move(found->second);
    requests_.erase(found);
    by_dispatch_rank_[class_index(owned->estimate.size)].erase(dispatch_rank_entry(*owned));
    by_submission_.erase(submission_entry(*owned));
    by_latest_start_.erase(latest_start_entry(*owned));
    by_retention_priority_.erase(retention_priority_entry(*owned));
    expected_slot_time_[class_index(owned->estimate.size)] -= owned->estimate.expected;
    bytes_ -= owned->description.bytes;
    return std::move(*owned);
}

const queued_request* request_queue::first(size_class size) const {
    const auto& ordered = by_dispatch_rank_[class_index(size)];
    return ordered.empty() ? nullptr : ordered.begin()->request;
}

const queued_request* request_queue::first_submitted_short() const {
    return by_submission_.empty() ? nullptr : by_submission_.begin()->request;
}

const queued_request* request_queue::lowest_retention_priority() const {
    return by_retention_priority_.empty() || !by_retention_priority_.rbegin()->not_urgent
               ? nullptr
               : by_retention_priority_.rbegin()->request;
}

const queued_request* request_queue::first_to_expire() const {
    return by_latest_start_.empty() ? nullptr : by_latest_start_.begin()->request;
}

bool request_queue::is_dispatched_before(const queued_request& left, const queued_request& right) {
    return dispatch_rank_entry(left) < dispatch_rank_entry(right);
}

bool request_queue::has_higher_retention_priority(const queued_request& left, const queued_request& right) {
    return retention_priority_entry(left) < retention_priority_entry(right);
}

request_queue::sort_entry request_queue::dispatch_rank_entry(const queued_request& request) {
    return {.not_urgent = !request.description.urgent,
            .key = request.dispatch_rank(),
            .sequence = request.sequence,
            .request = &request};
}

request_queue::sort_entry request_queue::submission_entry(const queued_request& request) {
    return {.not_urgent = !request.description.urgent,
            .key = 0.0,
            .sequence = request.sequence,
            .request = &request};
}

request_queue::sort_entry request_queue::retention_priority_entry(const queued_request& request) {
    return {.not_urgent = !request.description.urgent,
            .key = -request.retention_priority(),
            .sequence = request.sequence,
            .request = &request};
}

request_queue::sort_entry request_queue::latest_start_entry(const queued_request& request) {
    return {.not_urgent = true,
            .key = absl::ToDoubleSeconds(request.latest_start() - absl::UnixEpoch()),
            .sequence = request.sequence,
            .request = &request};
}

}  // namespace masticpass
