#include "decision/serving/service_scheduler.h"

#include <algorithm>

namespace masticpass {
namespace {

constexpr absl::Duration minimum_retry_after = absl::Milliseconds(100);
constexpr absl::Duration maximum_retry_after = absl::Seconds(30);
// The service counts as overloaded while the number of requests refused because of load, decayed with this
// time constant, reaches the threshold.
constexpr absl::Duration overload_decay_time = absl::Seconds(5);
constexpr double overload_refusal_threshold = 3.0;
// Short work runs in the order of submission while no queued request is closer to its latest start than this.
// With 1 or 2 s, the order by dispatch rank takes effect too late in a burst, and less worth is completed in
// time.
constexpr absl::Duration minimum_slack = absl::Seconds(5);

// Whether the same request may succeed later because the load has fallen.
bool is_caused_by_load(refusal_reason reason) {
    return reason == refusal_reason::queue_full_items || reason == refusal_reason::queue_full_bytes ||
           reason == refusal_reason::deadline_unreachable;
}

}  // namespace

service_scheduler::service_scheduler(scheduler_options options)
    : options_(options),
      estimator_(options.estimator),
      retry_budget_(options.retry_percent, options.retry_burst),
      size_class_policy_(options.guaranteed_long_share) {}

tl::expected<void, refusal> service_scheduler::submit(const request_description& request, absl::Time now) {
    if (queue_.find(request.id) != nullptr || running_.contains(request.id)) {
        return tl::make_unexpected(
            make_refusal(verdict::not_run, refusal_reason::identity_in_use, "the request id is in use"));
    }
    if (request.deadline <= now) {
        return tl::make_unexpected(
            make_refusal(verdict::not_run, refusal_reason::deadline_passed, "the deadline has passed"));
    }
    queued_request entry{.description = request,
                         .estimate = estimator_.estimate(request.kind, request.declared_run_time),
                         .sequence = next_sequence_++,
                         .last_failed_instance = std::nullopt};
    if (!can_start_in_time(entry, now)) {
        recent_refusals_.add(1.0, now, overload_decay_time);
        return tl::make_unexpected(make_refusal(verdict::not_run, refusal_reason::deadline_unreachable,
                                                "the deadline cannot be met at the present load"));
    }
    if (!make_room(entry, now)) {
        const bool items =
            queue_.items() >= options_.maximum_queue_items && request.bytes <= options_.maximum_queue_bytes;
        return tl::make_unexpected(make_refusal(
            verdict::not_run, items ? refusal_reason::queue_full_items : refusal_reason::queue_full_bytes,
            "the queue is full"));
    }
    if (entry.estimate.size == size_class::short_work) {
        size_class_policy_.record_short_arrival(entry.estimate.expected, now);
    }
    queue_.insert(std::move(entry));
    return {};
}

cancel_result service_scheduler::cancel(const request_id& id, absl::Time /*now*/) {
    if (queue_.find(id) != nullptr) {
        const queued_request taken = queue_.take(id);
        return taken.outcome == verdict::not_run ? cancel_result::removed
                                                 : cancel_result::removed_after_attempt;
    }
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return cancel_result::unknown;
    }
    found->second.cancelled = true;
    return cancel_result::running;
}

void service_scheduler::update_instances(absl::Span<const instance_capacity> instances, absl::Time now) {
    instances_.update(instances);
    size_class_policy_.record_running(long_running_, instances_.usable_slots(), now);
}

std::optional<dispatch> service_scheduler::next_dispatch(absl::Time now) {
    const int free_slots = instances_.free_slots();
    const queued_request* chosen = nullptr;
    if (free_slots > 0 && queue_.items() > 0) {
        reclassify_overlong(now);
        chosen = choose_request(now);
    }
    if (chosen == nullptr) {
        dispatch_values_.record_free_slot(free_slots > 0, now);
        const bool long_waits = queue_.items(size_class::long_work) > 0;
        size_class_policy_.record_free_slots(free_slots, instances_.usable_slots(), long_waits, now);
        return std::nullopt;
    }
    record_dispatch_value(*chosen, now);
    return start(chosen->description.id, *instances_.choose(chosen->last_failed_instance), now);
}

tl::expected<attempt_disposition, refusal> service_scheduler::attempt_ended(const request_id& id,
                                                                            const attempt_result& result,
                                                                            absl::Time now) {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return tl::make_unexpected(
            make_refusal(verdict::may_have_run, refusal_reason::internal_error, "the request does not run"));
    }
    running_request ended = std::move(found->second);
    running_.erase(found);
    if (ended.counted_size == size_class::long_work) {
        --long_running_;
    } else {
        short_running_.erase({ended.started, ended.request.sequence});
    }
    instances_.attempt_ended(ended.instance);
    size_class_policy_.record_running(long_running_, instances_.usable_slots(), now);
    record_run_time(ended, result, now);
    if (result.has_value()) {
        return attempt_disposition::completed;
    }
    queued_request request = std::move(ended.request);
    // Once an attempt may have run the request, the outcome stays so whatever later attempts return.
    if (result.error().outcome != verdict::not_run) {
        request.outcome = verdict::may_have_run;
    }
    refusal failure = result.error();
    failure.outcome = request.outcome;
    if (ended.cancelled || !may_retry(result.error().outcome, request.description.repeatable) ||
        request.latest_start() < now || !has_room_for(1, request.description.bytes)) {
        return tl::make_unexpected(std::move(failure));
    }
    if (!retry_budget_.take_retry()) {
        failure.retry_after = retry_after();
        return tl::make_unexpected(std::move(failure));
    }
    request.last_failed_instance = ended.instance;
    queue_.insert(std::move(request));
    return attempt_disposition::requeued;
}

std::vector<refused_request> service_scheduler::expire(absl::Time now) {
    for (const queued_request* first = queue_.first_to_expire();
         first != nullptr && first->latest_start() < now; first = queue_.first_to_expire()) {
        recent_refusals_.add(1.0, now, overload_decay_time);
        end_queued(first->description.id, refusal_reason::deadline_unreachable,
                   "the deadline can no longer be met");
    }
    return std::exchange(unreported_refusals_, {});
}

absl::Time service_scheduler::next_expiry() const {
    if (!unreported_refusals_.empty()) {
        return absl::InfinitePast();
    }
    const queued_request* const first = queue_.first_to_expire();
    return first == nullptr ? absl::InfiniteFuture() : first->latest_start();
}

std::vector<refused_request> service_scheduler::refuse_queued(refusal_reason reason,
                                                              const std::string& message) {
    while (const queued_request* const first = queue_.first_to_expire()) {
        end_queued(first->description.id, reason, message);
    }
    return std::exchange(unreported_refusals_, {});
}

refusal service_scheduler::make_refusal(verdict outcome, refusal_reason reason, std::string message) const {
    refusal result{.outcome = outcome, .reason = reason, .message = std::move(message)};
    if (is_caused_by_load(reason)) {
        result.retry_after = retry_after();
    }
    return result;
}

bool service_scheduler::can_start_in_time(const queued_request& request, absl::Time now) {
    if (request.latest_start() < now) {
        return false;
    }
    return request.description.urgent || instances_.usable_slots() == 0 ||
           request.log_worth_density() >= dispatch_values_.minimum_value(request.latest_start() - now, now);
}

bool service_scheduler::make_room(const queued_request& incoming, absl::Time now) {
    const std::size_t bytes = incoming.description.bytes;
    if (bytes > options_.maximum_queue_bytes) {
        return false;
    }
    while (!has_room_for(1, bytes)) {
        const queued_request* const lowest = queue_.lowest_retention_priority();
        const bool worth_more =
            lowest != nullptr && request_queue::has_higher_retention_priority(incoming, *lowest);
        if (!worth_more) {
            return false;
        }
        recent_refusals_.add(1.0, now, overload_decay_time);
        end_queued(lowest->description.id, refusal_reason::queue_full_items,
                   "displaced by work of more worth");
    }
    return true;
}

bool service_scheduler::has_room_for(std::size_t items, std::size_t bytes) const {
    return queue_.items() + items <= options_.maximum_queue_items &&
           queue_.bytes() + bytes <= options_.maximum_queue_bytes;
}

void service_scheduler::end_queued(const request_id& id, refusal_reason reason, std::string message) {
    const queued_request taken = queue_.take(id);
    unreported_refusals_.push_back(
        {.request = taken.description.id, .cause = make_refusal(taken.outcome, reason, std::move(message))});
}

void service_scheduler::reclassify_overlong(absl::Time now) {
    bool changed = false;
    while (!short_running_.empty() &&
           short_running_.begin()->first.first + estimator_.options().maximum_short_run_time < now) {
        running_.at(short_running_.begin()->second).counted_size = size_class::long_work;
        short_running_.erase(short_running_.begin());
        ++long_running_;
        changed = true;
    }
    if (changed) {
        size_class_policy_.record_running(long_running_, instances_.usable_slots(), now);
    }
}

bool service_scheduler::has_slack(absl::Time now) const {
    const queued_request* const first = queue_.first_to_expire();
    return !is_overloaded(now) && (first == nullptr || first->latest_start() - now >= minimum_slack);
}

const queued_request* service_scheduler::first_in_dispatch_order(size_class size, absl::Time now) const {
    return size == size_class::short_work && has_slack(now) ? queue_.first_submitted_short()
                                                            : queue_.first(size);
}

const queued_request* service_scheduler::first_viable(size_class size, absl::Time now) {
    while (const queued_request* const first = first_in_dispatch_order(size, now)) {
        const run_time_estimate current_estimate =
            estimator_.estimate(first->description.kind, first->description.declared_run_time);
        // The estimate may date from before the job kind had enough measurements.
        if (current_estimate.measured && !first->estimate.measured) {
            queued_request renewed = queue_.take(first->description.id);
            renewed.estimate = current_estimate;
            queue_.insert(std::move(renewed));
            continue;
        }
        if (now <= first->latest_start()) {
            return first;
        }
        recent_refusals_.add(1.0, now, overload_decay_time);
        end_queued(first->description.id, refusal_reason::deadline_unreachable,
                   "the deadline can no longer be met");
    }
    return nullptr;
}

const queued_request* service_scheduler::choose_request(absl::Time now) {
    // A renewed estimate may move a long request to the short class, so the short class is checked again.
    first_viable(size_class::short_work, now);
    const queued_request* const long_first = first_viable(size_class::long_work, now);
    const queued_request* const short_first = first_viable(size_class::short_work, now);
    const int slots = instances_.usable_slots();
    if (long_first == nullptr) {
        return short_first;
    }
    if (short_first != nullptr && short_first->description.urgent) {
        return short_first;
    }
    if (long_first->description.urgent || size_class_policy_.is_long_below_share(long_running_, slots, now)) {
        return long_first;
    }
    if (short_first != nullptr) {
        return is_overloaded(now) && request_queue::is_dispatched_before(*long_first, *short_first)
                   ? long_first
                   : short_first;
    }
    // Under overload, delaying long work makes some of it expire, so the queued long work counts as
    // unlimited.
    const absl::Duration long_waiting =
        is_overloaded(now) ? absl::InfiniteDuration() : queue_.expected_slot_time(size_class::long_work);
    return size_class_policy_.long_may_start(long_running_, long_waiting, slots, now) ? long_first : nullptr;
}

void service_scheduler::record_dispatch_value(const queued_request& chosen, absl::Time now) {
    const auto goes_first = [&](size_class size) {
        const queued_request* const other = first_in_dispatch_order(size, now);
        return other == nullptr || !request_queue::is_dispatched_before(*other, chosen);
    };
    // A request that the size class policy dispatches before one of higher value gives no information on the
    // value needed for a dispatch. In the order of submission, short work of low value is dispatched
    // regularly, so its value is recorded.
    if (goes_first(size_class::short_work) && goes_first(size_class::long_work)) {
        dispatch_values_.record_dispatch(chosen.dispatch_value(now), now);
    }
}

bool service_scheduler::is_overloaded(absl::Time now) const {
    return recent_refusals_.value(now, overload_decay_time) >= overload_refusal_threshold;
}

dispatch service_scheduler::start(request_id id, const vm_id& instance, absl::Time now) {
    running_request started{.request = queue_.take(id),
                            .instance = instance,
                            .started = now,
                            .counted_size = {},
                            .cancelled = false};
    started.counted_size = started.request.estimate.size;
    if (++started.request.attempts == 1) {
        retry_budget_.record_first_attempt();
    }
    if (started.counted_size == size_class::long_work) {
        ++long_running_;
    } else {
        short_running_.emplace(std::pair(now, started.request.sequence), id);
    }
    instances_.attempt_started(instance);
    size_class_policy_.record_running(long_running_, instances_.usable_slots(), now);
    const request_description& description = started.request.description;
    dispatch result{
        .request = id,
        .instance = instance,
        .attempt = started.request.attempts,
        .size = started.counted_size,
        .overdue_after = estimator_.overdue_after(description.kind, description.declared_run_time)};
    running_.emplace(std::move(id), std::move(started));
    return result;
}

void service_scheduler::record_run_time(const running_request& ended, const attempt_result& result,
                                        absl::Time now) {
    const request_description& description = ended.request.description;
    const absl::Duration elapsed = now - ended.started;
    if (result.has_value()) {
        estimator_.observe(description.kind, description.declared_run_time, elapsed);
    } else if (result.error().outcome == verdict::may_have_run) {
        estimator_.observe_lower_bound(description.kind, description.declared_run_time, elapsed);
    }
}

absl::Duration service_scheduler::retry_after() const {
    const int slots = std::max(1, instances_.usable_slots());
    return std::clamp(queue_.expected_slot_time() / slots, minimum_retry_after, maximum_retry_after);
}

}  // namespace masticpass
