#ifndef MASTICPASS_DECISION_SERVING_SERVICE_SCHEDULER_H
#define MASTICPASS_DECISION_SERVING_SERVICE_SCHEDULER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>
#include <absl/types/span.h>
#include <tl/expected.hpp>

#include "decision/serving/attempt_outcome.h"
#include "decision/serving/decayed_count.h"
#include "decision/serving/dispatch_value_history.h"
#include "decision/serving/instance_table.h"
#include "decision/serving/request_queue.h"
#include "decision/serving/retry_budget.h"
#include "decision/serving/run_time_estimator.h"
#include "decision/serving/scheduler_types.h"
#include "decision/serving/size_class_policy.h"

namespace masticpass {

// Queues the requests of one service in one entry VM and assigns them to slots. Each submitted request ends
// exactly once: refused by submit, removed by cancel, refused by expire or refuse_queued, or ended by
// attempt_ended. Thread safety: none; the caller holds a lock. `now` must not decrease between calls.
class service_scheduler {
public:
    explicit service_scheduler(scheduler_options options = {});

    // Queues the request. Errors, always as not run: identity_in_use if the id is queued or running;
    // deadline_passed; deadline_unreachable if work of higher value is expected to take all slots until then;
    // queue_full_items and queue_full_bytes if the queue holds nothing of lower retention priority. A request
    // may displace one of lower retention priority, which the next call of expire reports.
    [[nodiscard]] tl::expected<void, refusal> submit(const request_description& request, absl::Time now);

    // Removes a queued request at once, or prevents a running request from being retried.
    cancel_result cancel(const request_id& id, absl::Time now);

    // Replaces the set of instances. Running attempts are not affected.
    void update_instances(absl::Span<const instance_capacity> instances, absl::Time now);

    // The next request to run and its instance; nullopt if there is none. After each other operation, and
    // when next_expiry has passed, the caller must call it until it returns nullopt.
    [[nodiscard]] std::optional<dispatch> next_dispatch(absl::Time now);

    // Reports the end of a dispatched attempt. Error: the refusal to send to the caller if the request is not
    // retried, or internal_error if the request is not running.
    [[nodiscard]] tl::expected<attempt_disposition, refusal> attempt_ended(const request_id& id,
                                                                           const attempt_result& result,
                                                                           absl::Time now);

    // Ends queued requests that can no longer meet their deadline, and returns all queued requests refused
    // since the last call, including displaced ones. Must be called after each submit and when next_expiry
    // has passed.
    [[nodiscard]] std::vector<refused_request> expire(absl::Time now);

    // The time at which expire must be called; InfiniteFuture if the queue is empty and no refusal is
    // unreported.
    absl::Time next_expiry() const;

    // Refuses all queued requests. Used for a planned shutdown.
    [[nodiscard]] std::vector<refused_request> refuse_queued(refusal_reason reason,
                                                             const std::string& message);

    std::size_t queued_items() const { return queue_.items(); }
    std::size_t queued_bytes() const { return queue_.bytes(); }
    std::size_t running() const { return running_.size(); }
    int long_running() const { return long_running_; }
    int free_slots() const { return instances_.free_slots(); }
    int usable_slots() const { return instances_.usable_slots(); }
    const run_time_estimator& estimator() const { return estimator_; }

private:
    struct running_request {
        queued_request request;
        vm_id instance;
        absl::Time started;
        size_class counted_size = size_class::short_work;
        bool cancelled = false;
    };

    refusal make_refusal(verdict outcome, refusal_reason reason, std::string message) const;
    // False if the request is not expected to be dispatched before its latest start.
    bool can_start_in_time(const queued_request& request, absl::Time now);
    // Makes room by displacing requests of lower retention priority; false if that does not free enough.
    bool make_room(const queued_request& incoming, absl::Time now);
    bool has_room_for(std::size_t items, std::size_t bytes) const;
    void end_queued(const request_id& id, refusal_reason reason, std::string message);
    // Counts short requests that have run for longer than the limit of the short class as long work.
    void reclassify_overlong(absl::Time now);
    // Whether all queued work is expected to start in time, in which case short work runs in the order of
    // submission.
    bool has_slack(absl::Time now) const;
    const queued_request* first_in_dispatch_order(size_class size, absl::Time now) const;
    // The first request of the class that can still meet its deadline.
    const queued_request* first_viable(size_class size, absl::Time now);
    const queued_request* choose_request(absl::Time now);
    void record_dispatch_value(const queued_request& chosen, absl::Time now);
    // Whether the decayed number of recent refusals reaches the overload threshold.
    bool is_overloaded(absl::Time now) const;
    dispatch start(request_id id, const vm_id& instance, absl::Time now);
    void record_run_time(const running_request& ended, const attempt_result& result, absl::Time now);
    absl::Duration retry_after() const;

    scheduler_options options_;
    run_time_estimator estimator_;
    retry_budget retry_budget_;
    size_class_policy size_class_policy_;
    dispatch_value_history dispatch_values_;
    decayed_count recent_refusals_;
    instance_table instances_;
    request_queue queue_;
    absl::flat_hash_map<request_id, running_request> running_;
    // Running requests that count as short work, by start time and order of submission.
    absl::btree_map<std::pair<absl::Time, std::uint64_t>, request_id> short_running_;
    int long_running_ = 0;
    std::uint64_t next_sequence_ = 0;
    std::vector<refused_request> unreported_refusals_;
};

}  // namespace masticpass

#endif
