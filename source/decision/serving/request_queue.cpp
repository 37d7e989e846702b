#include "decision/serving/request_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace masticpass {
namespace {

// Keeps the worth per slot-second finite for kinds that take almost no time or are worth nothing.
constexpr double least_seconds = 0.001;
constexpr double least_worth = 1e-9;
// The discount per time left. A longer time serves valuable work too early and lets other work expire that
// could have been served before it; a shorter one comes close to plain order by deadline.
constexpr double discount_seconds = 2.0;
// About the length of a burst; work that can wait longer is likely to run after it.
constexpr double burst_seconds = 10.0;

}  // namespace

double queued_request::log_density() const {
    const double seconds = std::max(least_seconds, absl::ToDoubleSeconds(estimate.expected));
    return std::log(std::max(least_worth, description.worth) / seconds);
}

double queued_request::claim() const {
    return log_density() + absl::ToDoubleSeconds(latest_start() - absl::UnixEpoch()) / burst_seconds;
}

double queued_request::rank() const {
    return absl::ToDoubleSeconds(latest_start() - absl::UnixEpoch()) / discount_seconds - log_density();
}

double queued_request::value(absl::Time now) const {
    return absl::ToDoubleSeconds(now - absl::UnixEpoch()) / discount_seconds - rank();
}

bool request_queue::place::operator<(const place& other) const {
    return std::tie(not_urgent, key, sequence) < std::tie(other.not_urgent, other.key, other.sequence);
}

const queued_request& request_queue::insert(queued_request request) {
    auto owned = std::make_unique<queued_request>(std::move(request));
    const queued_request& entry = *owned;
    requests_.emplace(entry.description.id, std::move(owned));
    by_rank_[class_index(entry.estimate.size)].insert(rank_place(entry));
    if (entry.estimate.size == size_class::short_work) {
        by_arrival_.insert(arrival_place(entry));
    }
    by_start_.insert(start_place(entry));
    by_claim_.insert(claim_place(entry));
    work_[class_index(entry.estimate.size)] += entry.estimate.expected;
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
    by_rank_[class_index(owned->estimate.size)].erase(rank_place(*owned));
    by_arrival_.erase(arrival_place(*owned));
    by_start_.erase(start_place(*owned));
    by_claim_.erase(claim_place(*owned));
    work_[class_index(owned->estimate.size)] -= owned->estimate.expected;
    bytes_ -= owned->description.bytes;
    return std::move(*owned);
}

const queued_request* request_queue::first(size_class size) const {
    const auto& ordered = by_rank_[class_index(size)];
    return ordered.empty() ? nullptr : ordered.begin()->request;
}

const queued_request* request_queue::first_submitted_short() const {
    return by_arrival_.empty() ? nullptr : by_arrival_.begin()->request;
}

const queued_request* request_queue::least_claim() const {
    return by_claim_.empty() || !by_claim_.rbegin()->not_urgent ? nullptr : by_claim_.rbegin()->request;
}

const queued_request* request_queue::first_to_expire() const {
    return by_start_.empty() ? nullptr : by_start_.begin()->request;
}

bool request_queue::goes_before(const queued_request& left, const queued_request& right) {
    return rank_place(left) < rank_place(right);
}

bool request_queue::has_more_claim(const queued_request& left, const queued_request& right) {
    return claim_place(left) < claim_place(right);
}

request_queue::place request_queue::rank_place(const queued_request& request) {
    return {.not_urgent = !request.description.urgent,
            .key = request.rank(),
            .sequence = request.sequence,
            .request = &request};
}

request_queue::place request_queue::arrival_place(const queued_request& request) {
    return {.not_urgent = !request.description.urgent,
            .key = 0.0,
            .sequence = request.sequence,
            .request = &request};
}

request_queue::place request_queue::claim_place(const queued_request& request) {
    return {.not_urgent = !request.description.urgent,
            .key = -request.claim(),
            .sequence = request.sequence,
            .request = &request};
}

request_queue::place request_queue::start_place(const queued_request& request) {
    return {.not_urgent = true,
            .key = absl::ToDoubleSeconds(request.latest_start() - absl::UnixEpoch()),
            .sequence = request.sequence,
            .request = &request};
}

}  // namespace masticpass
