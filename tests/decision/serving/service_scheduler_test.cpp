#include "decision/serving/service_scheduler.h"

#include <deque>
#include <string>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

namespace masticpass {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const vm_id first_vm("vm-1");
const vm_id second_vm("vm-2");

request_description request(const std::string& id, absl::Duration declared) {
    return {.id = request_id(id),
            .kind = job_kind(id),
            .deadline = start + absl::Minutes(10),
            .declared_run_time = declared,
            .bytes = 100};
}

request_description short_request(const std::string& id) {
    return request(id, absl::Milliseconds(100));
}
request_description long_request(const std::string& id) {
    return request(id, absl::Seconds(5));
}

service_scheduler make_scheduler(int slots, scheduler_options options = {}) {
    service_scheduler scheduler(options);
    scheduler.update_instances({{.instance = first_vm, .slots = slots}}, start);
    return scheduler;
}

scheduler_options queue_limits(std::size_t items, std::size_t bytes) {
    scheduler_options options;
    options.maximum_queue_items = items;
    options.maximum_queue_bytes = bytes;
    return options;
}

std::string dispatch_next(service_scheduler& scheduler, absl::Time now = start) {
    const auto next = scheduler.next_dispatch(now);
    return next.has_value() ? next->request.value() : "";
}

attempt_result failed_attempt(attempt_event event) {
    return result_of(event, true, "fault");
}

}  // namespace

// Guards against short work that waits behind long work submitted earlier.
TEST_CASE("urgent work is dispatched first, then short work, then long work") {
    auto scheduler = make_scheduler(4);
    REQUIRE(scheduler.submit(long_request("long"), start));
    REQUIRE(scheduler.submit(short_request("short"), start));
    auto urgent = long_request("urgent");
    urgent.urgent = true;
    REQUIRE(scheduler.submit(urgent, start));
    CHECK(dispatch_next(scheduler) == "urgent");
    CHECK(dispatch_next(scheduler) == "short");
    CHECK(dispatch_next(scheduler) == "long");
    CHECK(dispatch_next(scheduler).empty());
}

// Guards against short work of little worth or with a late deadline that all later short work overtakes
// although all of it can meet its deadlines, and against the order of submission when a deadline is near.
TEST_CASE("short work runs in the order of submission while all deadlines can be met") {
    const auto submit_two = [](service_scheduler& scheduler, absl::Duration time_left) {
        auto late = short_request("late");
        late.worth = 0.1;
        auto early = short_request("early");
        early.deadline = start + time_left;
        REQUIRE(scheduler.submit(late, start));
        REQUIRE(scheduler.submit(early, start));
    };
    auto with_time_left = make_scheduler(2);
    submit_two(with_time_left, absl::Seconds(20));
    CHECK(dispatch_next(with_time_left) == "late");
    CHECK(dispatch_next(with_time_left) == "early");

    auto with_near_deadline = make_scheduler(2);
    submit_two(with_near_deadline, absl::Seconds(4));
    CHECK(dispatch_next(with_near_deadline) == "early");
    CHECK(dispatch_next(with_near_deadline) == "late");
}

// Guards against long work that takes all slots because it was declared as short.
TEST_CASE("a request that runs longer than the limit of the short class counts as long") {
    auto scheduler = make_scheduler(2);
    REQUIRE(scheduler.submit(short_request("short"), start));
    CHECK(dispatch_next(scheduler) == "short");
    CHECK(scheduler.long_running() == 0);
    REQUIRE(scheduler.submit(short_request("next"), start));
    CHECK(dispatch_next(scheduler, start + absl::Milliseconds(1'100)) == "next");
    CHECK(scheduler.long_running() == 1);
    REQUIRE(scheduler.attempt_ended(request_id("short"), {}, start + absl::Seconds(2)));
    CHECK(scheduler.long_running() == 0);
}

// Guards against starvation of long work while short work always waits.
TEST_CASE("long work gets its guaranteed share under a steady stream of short work") {
    for (const int slots : {1, 8, 40}) {
        auto scheduler = make_scheduler(slots);
        auto endless = long_request("long");
        endless.deadline = start + absl::Hours(100);
        REQUIRE(scheduler.submit(endless, start));
        bool started = false;
        int number = 0;
        std::deque<std::string> running;
        for (absl::Time now = start; now < start + absl::Seconds(60) && !started;
             now += absl::Milliseconds(50)) {
            while (scheduler.queued_items() < 50) {
                REQUIRE(scheduler.submit(short_request(absl::StrCat("short-", number++)), now));
            }
            for (std::string id = dispatch_next(scheduler, now); !id.empty();
                 id = dispatch_next(scheduler, now)) {
                started = started || id == "long";
                running.push_back(id);
            }
            if (!started) {
                REQUIRE(scheduler.attempt_ended(request_id(running.front()), {}, now));
                running.pop_front();
            }
        }
        CHECK_MESSAGE(started, "slots: " << slots);
    }
}

// Guards against long work that occupies every slot while short work arrives continuously.
TEST_CASE("slots are reserved for short work according to its measured load") {
    auto scheduler = make_scheduler(8);
    absl::Time now = start;
    for (int number = 0; number < 500; ++number, now += absl::Milliseconds(100)) {
        const std::string id = absl::StrCat("short-", number);
        REQUIRE(scheduler.submit(short_request(id), now));
        CHECK(dispatch_next(scheduler, now) == id);
        REQUIRE(scheduler.attempt_ended(request_id(id), {}, now + absl::Milliseconds(90)));
    }
    for (int number = 0; number < 8; ++number) {
        REQUIRE(scheduler.submit(long_request(absl::StrCat("long-", number)), now));
    }
    int started = 0;
    while (!dispatch_next(scheduler, now).empty()) {
        ++started;
    }
    CHECK(started >= 5);
    CHECK(started < 8);
    REQUIRE(scheduler.submit(short_request("short"), now));
    CHECK(dispatch_next(scheduler, now) == "short");
}

// Guards against reserved slots that go to long work although little of it waits, and against slots that stay
// reserved indefinitely while much long work waits.
TEST_CASE("slots stay reserved while little long work waits, whatever capacity was lost before") {
    const auto long_running_after = [](int long_requests) {
        auto scheduler = make_scheduler(8);
        absl::Time now = start;
        const auto dispatch_all = [&scheduler](absl::Time at) {
            bool short_started = false;
            while (const auto next = scheduler.next_dispatch(at)) {
                short_started = short_started || next->size == size_class::short_work;
            }
            return short_started;
        };
        // The long work does not end, so the reserved slots count as lost capacity throughout.
        for (int number = 0; number < 1'200; ++number, now += absl::Milliseconds(100)) {
            // The load of short work is measured before long work arrives.
            for (int added = 0; number == 300 && added < long_requests; ++added) {
                auto endless = long_request(absl::StrCat("long-", added));
                endless.deadline = start + absl::Hours(1);
                REQUIRE(scheduler.submit(endless, now));
            }
            const std::string id = absl::StrCat("short-", number);
            REQUIRE(scheduler.submit(short_request(id), now));
            if (!dispatch_all(now)) {
                break;
            }
            REQUIRE(scheduler.attempt_ended(request_id(id), {}, now + absl::Milliseconds(90)));
            dispatch_all(now + absl::Milliseconds(90));
        }
        return scheduler.long_running();
    };
    CHECK(long_running_after(12) == 6);
    CHECK(long_running_after(200) == 7);
}

// Guards against new work on an instance that accepts none because it is ejected, leaving or reserved,
// and against uneven load.
TEST_CASE("requests go to the accepting instance with the most free slots") {
    service_scheduler scheduler;
    const auto update = [&](bool first_accepts) {
        scheduler.update_instances({{.instance = first_vm, .slots = 3, .accepts_work = first_accepts},
                                    {.instance = second_vm, .slots = 2}},
                                   start);
    };
    update(true);
    for (int number = 0; number < 5; ++number) {
        REQUIRE(scheduler.submit(short_request(absl::StrCat(number)), start));
    }
    CHECK(scheduler.next_dispatch(start)->instance == first_vm);
    update(false);
    CHECK(scheduler.next_dispatch(start)->instance == second_vm);
    CHECK(scheduler.next_dispatch(start)->instance == second_vm);
    CHECK_FALSE(scheduler.next_dispatch(start).has_value());
    scheduler.update_instances({}, start);
    CHECK(scheduler.running() == 3);
    CHECK(scheduler.attempt_ended(request_id("0"), {}, start) == attempt_disposition::completed);
}

// Guards against a queue entry that stays occupied after its caller has cancelled the request.
TEST_CASE("cancellation frees the queue entry at once") {
    auto scheduler = make_scheduler(0, queue_limits(1, 1'000));
    REQUIRE(scheduler.submit(short_request("a"), start));
    CHECK(scheduler.submit(short_request("b"), start).error().reason == refusal_reason::queue_full_items);
    CHECK(scheduler.cancel(request_id("a"), start) == cancel_result::removed);
    CHECK(scheduler.queued_bytes() == 0);
    CHECK(scheduler.submit(short_request("b"), start).has_value());
    CHECK(scheduler.cancel(request_id("a"), start) == cancel_result::unknown);
    // A retry with an id that is in use fails as well, so the refusal names no retry delay.
    CHECK_FALSE(scheduler.submit(short_request("b"), start).error().retry_after.has_value());
    scheduler.update_instances({{.instance = first_vm, .slots = 1}}, start);
    CHECK(dispatch_next(scheduler) == "b");
    CHECK(scheduler.cancel(request_id("b"), start) == cancel_result::running);
    CHECK(scheduler.attempt_ended(request_id("b"), failed_attempt(attempt_event::server_refused), start)
              .error()
              .outcome == verdict::not_run);
}

// Guards against a full queue that refuses work of high worth, and against displaced requests that end
// without a report to their callers.
TEST_CASE("a full queue displaces work of less worth and reports it") {
    auto scheduler = make_scheduler(0, queue_limits(2, 250));
    REQUIRE(scheduler.submit(short_request("cheap"), start));
    auto urgent = short_request("urgent");
    urgent.urgent = true;
    REQUIRE(scheduler.submit(urgent, start));
    auto valuable = short_request("valuable");
    valuable.worth = 10.0;
    REQUIRE(scheduler.submit(valuable, start));
    const auto ended = scheduler.expire(start);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].request.value() == "cheap");
    CHECK(ended[0].cause.outcome == verdict::not_run);
    CHECK(ended[0].cause.retry_after.has_value());
    auto large = short_request("large");
    large.worth = 1'000.0;
    large.bytes = 251;
    CHECK(scheduler.submit(large, start).error().reason == refusal_reason::queue_full_bytes);
}

// Guards against a second run, a retry on the server that just failed, and a false "not run" after a retry.
TEST_CASE("retries depend on the verdict, and a retried request keeps may_have_run") {
    service_scheduler scheduler;
    scheduler.update_instances({{.instance = first_vm, .slots = 4}, {.instance = second_vm, .slots = 4}},
                               start);
    REQUIRE(scheduler.submit(short_request("a"), start));
    const auto first = scheduler.next_dispatch(start);
    CHECK(scheduler.attempt_ended(request_id("a"), failed_attempt(attempt_event::server_refused), start) ==
          attempt_disposition::requeued);
    const auto second = scheduler.next_dispatch(start);
    CHECK(second->attempt == 2);
    CHECK(second->instance != first->instance);
    CHECK(scheduler.attempt_ended(request_id("a"), failed_attempt(attempt_event::timeout), start)
              .error()
              .outcome == verdict::may_have_run);
    auto repeatable = short_request("b");
    repeatable.repeatable = true;
    REQUIRE(scheduler.submit(repeatable, start));
    CHECK(dispatch_next(scheduler) == "b");
    CHECK(scheduler.attempt_ended(request_id("b"), failed_attempt(attempt_event::timeout), start) ==
          attempt_disposition::requeued);
    const auto ended = scheduler.expire(repeatable.deadline);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].cause.outcome == verdict::may_have_run);
    CHECK(scheduler.attempt_ended(request_id("b"), {}, start).error().reason ==
          refusal_reason::internal_error);
}

// Guards against work that waits until its deadline although it cannot start in time, and against starts that
// are too late for the deadline.
TEST_CASE("work that cannot meet its deadline is refused early with a retry delay") {
    auto scheduler = make_scheduler(1);
    auto unreachable = long_request("unreachable");
    unreachable.deadline = start + absl::Seconds(4);
    CHECK(scheduler.submit(unreachable, start).error().reason == refusal_reason::deadline_unreachable);
    absl::Time now = start;
    for (int number = 0; number < 200; ++number, now += absl::Milliseconds(50)) {
        auto valuable = short_request(absl::StrCat(number));
        valuable.worth = 100.0;
        valuable.deadline = now + absl::Seconds(2);
        REQUIRE(scheduler.submit(valuable, now));
        REQUIRE(scheduler.submit(short_request(absl::StrCat("low-", number)), now));
        if (number % 2 == 0 && scheduler.running() > 0) {
            REQUIRE(scheduler.attempt_ended(request_id(absl::StrCat(number - 2)), {}, now));
        }
        if (number % 2 == 0) {
            CHECK(dispatch_next(scheduler, now) == absl::StrCat(number));
            CHECK(scheduler.cancel(request_id(absl::StrCat(number + 1)), now) == cancel_result::unknown);
        } else {
            CHECK(scheduler.cancel(request_id(absl::StrCat(number)), now) == cancel_result::removed);
        }
    }
    auto low = short_request("low");
    low.deadline = now + absl::Seconds(2);
    const auto refused = scheduler.submit(low, now);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().reason == refusal_reason::deadline_unreachable);
    CHECK(refused.error().outcome == verdict::not_run);
    CHECK(refused.error().retry_after.value() >= absl::Milliseconds(100));
}

// Guards against queued requests that never get a response at a planned stop.
TEST_CASE("all queued requests are refused at a planned stop") {
    auto scheduler = make_scheduler(0);
    REQUIRE(scheduler.submit(short_request("a"), start));
    REQUIRE(scheduler.submit(long_request("b"), start));
    CHECK(scheduler.refuse_queued(refusal_reason::stopping, "stopping").size() == 2);
    CHECK(scheduler.queued_items() == 0);
    CHECK(scheduler.next_expiry() == absl::InfiniteFuture());
}

}  // namespace masticpass
