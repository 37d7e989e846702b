#include "decision/serving/request_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace masticpass {
namespace {

// Keeps the worth per slot-second finite for kinds that take almost no time.
constexpr double least_seconds = 0.001;
// Two buckets per factor of two, from 2^-32 to 2^32.
constexpr double buckets_per_octave = 2.0;
constexpr double lowest_octave = -32.0;

}  // namespace

double queued_request::density() const {
    return description.worth / std::max(least_seconds, absl::ToDoubleSeconds(estimate.expected));
}

bool request_queue::value_order::operator()(const queued_request* left, const queued_request* right) const {
    return std::make_tuple(!left->description.urgent, -left->density(), left->sequence) <
           std::make_tuple(!right->description.urgent, -right->density(), right->sequence);
}

bool request_queue::start_order::operator()(const queued_request* left, const queued_request* right) const {
    return std::make_tuple(left->latest_start(), left->sequence) <
           std::make_tuple(right->latest_start(), right->sequence);
}

const queued_request& request_queue::insert(queued_request request) {
    auto owned = std::make_unique<queued_request>(std::move(request));
    const queued_request* const entry = owned.get();
    requests_.emplace(entry->description.id, std::move(owned));
    by_value_[class_index(entry->estimate.size)].insert(entry);
    by_start_.insert(entry);
    work_[density_bucket(entry->description.urgent, entry->density())] +=
        absl::ToInt64Microseconds(entry->estimate.expected);
    bytes_ += entry->description.bytes;
    return *entry;
}

const queued_request* request_queue::find(const request_id& id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : found->second.get();
}

queued_request request_queue::take(const request_id& id) {
    const auto found = requests_.find(id);
    const std::unique_ptr<queued_request> owned = std::move(found->second);
    requests_.erase(found);
    by_value_[class_index(owned->estimate.size)].erase(owned.get());
    by_start_.erase(owned.get());
    work_[density_bucket(owned->description.urgent, owned->density())] -=
        absl::ToInt64Microseconds(owned->estimate.expected);
    bytes_ -= owned->description.bytes;
    return std::move(*owned);
}

const queued_request* request_queue::first(size_class size) const {
    const auto& ordered = by_value_[class_index(size)];
    return ordered.empty() ? nullptr : *ordered.begin();
}

const queued_request* request_queue::last() const {
    const queued_request* lowest = nullptr;
    for (const auto& ordered : by_value_) {
        if (ordered.empty() || (*ordered.rbegin())->description.urgent) {
            continue;
        }
        if (lowest == nullptr || value_order()(lowest, *ordered.rbegin())) {
            lowest = *ordered.rbegin();
        }
    }
    return lowest;
}

const queued_request* request_queue::first_to_expire() const {
    return by_start_.empty() ? nullptr : *by_start_.begin();
}

absl::Duration request_queue::work_before(bool urgent, double density) const {
    std::int64_t microseconds = 0;
    for (std::size_t bucket = density_bucket(urgent, density); bucket < density_buckets; ++bucket) {
        microseconds += work_[bucket];
    }
    return absl::Microseconds(microseconds);
}

std::size_t request_queue::density_bucket(bool urgent, double density) {
    constexpr std::size_t highest = density_buckets - 1;
    if (urgent) {
        return highest;
    }
    if (!(density > 0.0)) {
        return 0;
    }
    const double position = (std::log2(density) - lowest_octave) * buckets_per_octave;
    return static_cast<std::size_t>(std::clamp(position, 0.0, static_cast<double>(highest - 1)));
}

}  // namespace masticpass
