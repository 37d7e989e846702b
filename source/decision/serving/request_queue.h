#ifndef MASTICPASS_DECISION_SERVING_REQUEST_QUEUE_H
#define MASTICPASS_DECISION_SERVING_REQUEST_QUEUE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include "decision/serving/scheduler_types.h"

namespace masticpass {

struct queued_request {
    request_description description;
    run_time_estimate estimate;
    // Order of submission, to break ties.
    std::uint64_t sequence = 0;
    int attempts = 0;
    // What the attempts so far allow to say; never `ran` while the request is queued.
    verdict outcome = verdict::not_run;
    std::optional<vm_id> failed_on;

    // Worth per expected slot-second.
    double density() const;
    // The last time at which a start is expected to meet the deadline.
    absl::Time latest_start() const { return description.deadline - estimate.typical; }
};

// The waiting requests of one service by size class, most valuable first, and by latest start.
// Thread safety: none; the caller holds a lock.
class request_queue {
public:
    // The id must not be in the queue. Returns the entry, which the queue owns until it is taken.
    const queued_request& insert(queued_request request);

    // nullptr if the id is not in the queue.
    const queued_request* find(const request_id& id) const;

    // Removes and returns a request that is in the queue.
    queued_request take(const request_id& id);

    // The first request of a class; nullptr if there is none. Urgent requests come before all others.
    const queued_request* first(size_class size) const;
    // The least valuable request that is not urgent; nullptr if there is none.
    const queued_request* last() const;
    // The request whose latest start comes first; nullptr if the queue is empty.
    const queued_request* first_to_expire() const;

    // Expected slot time of the requests that go before one with this density, about.
    absl::Duration work_before(bool urgent, double density) const;

    std::size_t items() const { return requests_.size(); }
    std::size_t items(size_class size) const { return by_value_[class_index(size)].size(); }
    std::size_t bytes() const { return bytes_; }

private:
    struct value_order {
        bool operator()(const queued_request* left, const queued_request* right) const;
    };
    struct start_order {
        bool operator()(const queued_request* left, const queued_request* right) const;
    };
    static constexpr std::size_t density_buckets = 129;

    static std::size_t class_index(size_class size) { return size == size_class::short_work ? 0 : 1; }
    static std::size_t density_bucket(bool urgent, double density);

    absl::flat_hash_map<request_id, std::unique_ptr<queued_request>> requests_;
    std::array<absl::btree_set<const queued_request*, value_order>, 2> by_value_;
    absl::btree_set<const queued_request*, start_order> by_start_;
    // Microseconds, so that sums stay exact.
    std::array<std::int64_t, density_buckets> work_ = {};
    std::size_t bytes_ = 0;
};

}  // namespace masticpass

#endif
