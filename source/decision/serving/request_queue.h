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
    // The verdict that follows from the attempts so far; never `ran` while the request is queued.
    verdict outcome = verdict::not_run;
    std::optional<vm_id> last_failed_instance;

    // Logarithm of the worth per expected slot-second.
    double log_worth_density() const;
    // Priority for staying in a full queue: grows with the worth per expected slot-second and with the time
    // left for the load to fall.
    double retention_priority() const;
    // Position in the order of dispatch, lower first: worth per expected slot-second, discounted
    // exponentially by the time left until the latest start. With time, the discounts of two requests change
    // by the same factor, so their order is fixed.
    double dispatch_rank() const;
    // The same as a value that rises until the latest start, where it is log_worth_density().
    double dispatch_value(absl::Time now) const;
    // The last time at which a start is expected to meet the deadline.
    absl::Time latest_start() const { return description.deadline - estimate.typical; }
};

// The queued requests of one service: by size class in the order of dispatch, by order of submission (short
// requests only), by latest start and by retention priority.
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
    // The short request that was submitted first, urgent ones before all others; nullptr if there is none.
    const queued_request* first_submitted_short() const;
    // The non-urgent request with the lowest retention priority; nullptr if there is none.
    const queued_request* lowest_retention_priority() const;
    // The request whose latest start comes first; nullptr if the queue is empty.
    const queued_request* first_to_expire() const;

    // Whether `left` is dispatched before `right`, regardless of their size classes.
    static bool is_dispatched_before(const queued_request& left, const queued_request& right);
    // Whether `left` has a higher retention priority than `right`.
    static bool has_higher_retention_priority(const queued_request& left, const queued_request& right);

    // Expected slot time of all requests, and of one class.
    absl::Duration expected_slot_time() const { return expected_slot_time_[0] + expected_slot_time_[1]; }
    absl::Duration expected_slot_time(size_class size) const {
        return expected_slot_time_[class_index(size)];
    }

    std::size_t items() const { return requests_.size(); }
    std::size_t items(size_class size) const { return by_dispatch_rank_[class_index(size)].size(); }
    std::size_t bytes() const { return bytes_; }

private:
    // The key is stored next to the pointer, so that a search computes no logarithms and follows no pointers.
    struct sort_entry {
        bool not_urgent = true;
        double key = 0.0;
        std::uint64_t sequence = 0;
        const queued_request* request = nullptr;

        bool operator<(const sort_entry& other) const;
    };
    using ordered_places = absl::btree_set<sort_entry>;

    static sort_entry dispatch_rank_entry(const queued_request& request);
    static sort_entry submission_entry(const queued_request& request);
    static sort_entry retention_priority_entry(const queued_request& request);
    // Urgent requests expire like all others.
    static sort_entry latest_start_entry(const queued_request& request);

    static std::size_t class_index(size_class size) { return size == size_class::short_work ? 0 : 1; }

    absl::flat_hash_map<request_id, std::unique_ptr<queued_request>> requests_;
    std::array<ordered_places, 2> by_dispatch_rank_;
    // Short requests only.
    ordered_places by_submission_;
    ordered_places by_latest_start_;
    // Highest retention priority first.
    ordered_places by_retention_priority_;
    std::array<absl::Duration, 2> expected_slot_time_;
    std::size_t bytes_ = 0;
};

}  // namespace masticpass

#endif
