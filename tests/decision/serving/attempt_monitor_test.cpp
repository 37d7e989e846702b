#include "decision/serving/attempt_monitor.h"

#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

namespace masticpass {

namespace {

struct attempt_monitor_fixture {
    const attempt_id attempt{"a1"};
    const absl::Time start = absl::UnixEpoch();
    const absl::Time overdue_at = start + absl::Seconds(1);
    const absl::Time times_out_at = start + absl::Minutes(1);
    attempt_monitor monitor;

    attempt_monitor_fixture() { monitor.start(attempt, overdue_at, times_out_at); }

    // Whether a query for the attempt becomes due at `time`, that is, is due then and not 1 ms earlier.
    bool is_query_due_at(absl::Time time) {
        return !monitor.next_query(time - absl::Milliseconds(1)) && monitor.next_query(time) == attempt;
    }
};

}  // namespace

// Guards against load on servers by queries for attempts that take no longer than usual, and against queries
// for attempts that have ended.
TEST_CASE_FIXTURE(attempt_monitor_fixture, "an attempt is queried when it is overdue and not after its end") {
    CHECK(is_query_due_at(overdue_at));
    CHECK_FALSE(monitor.next_query(times_out_at));
    monitor.remove(attempt);
    CHECK(monitor.record_query_response(attempt, attempt_state::unknown, overdue_at) ==
          attempt_monitor_action::none);
    CHECK_FALSE(monitor.next_query(times_out_at));
    monitor.start(attempt_id("a2"), overdue_at, times_out_at);
    monitor.remove(attempt_id("a2"));
    CHECK_FALSE(monitor.next_query(times_out_at));
    CHECK(monitor.take_timed_out(times_out_at).empty());
}

// Guards against ending an attempt whose response is in transit when the server first responds `unknown`.
TEST_CASE_FIXTURE(attempt_monitor_fixture,
                  "two unknown responses at least 500 ms apart end an attempt, one does not") {
    REQUIRE(is_query_due_at(overdue_at));
    CHECK(monitor.record_query_response(attempt, attempt_state::unknown, overdue_at) ==
          attempt_monitor_action::none);
    const absl::Time second_query_at = overdue_at + absl::Milliseconds(500);
    REQUIRE(is_query_due_at(second_query_at));
    CHECK(monitor.record_query_response(attempt, attempt_state::unknown, second_query_at) ==
          attempt_monitor_action::end_attempt);
}

// Guards against ending an attempt that the server runs: a `running` response between two `unknown` responses
// shows that the first of them is out of date.
TEST_CASE_FIXTURE(attempt_monitor_fixture,
                  "a running response cancels an earlier unknown response, a missing response does not") {
    absl::Time now = overdue_at;
    const auto record_next_response = [&](attempt_state state) {
        now += absl::Seconds(10);
        REQUIRE(monitor.next_query(now) == attempt);
        return monitor.record_query_response(attempt, state, now);
    };
    CHECK(record_next_response(attempt_state::unknown) == attempt_monitor_action::none);
    CHECK(record_next_response(attempt_state::running) == attempt_monitor_action::none);
    CHECK(record_next_response(attempt_state::unknown) == attempt_monitor_action::none);
    CHECK(record_next_response(attempt_state::not_answered) == attempt_monitor_action::none);
    CHECK(record_next_response(attempt_state::unknown) == attempt_monitor_action::end_attempt);
}

// Guards against constant query load on a server that runs a long job or does not respond.
TEST_CASE_FIXTURE(attempt_monitor_fixture,
                  "the query interval doubles from 500 ms to 5 s while the server does not respond unknown") {
    absl::Time first_query_at = overdue_at;
    for (const attempt_state state : {attempt_state::running, attempt_state::not_answered}) {
        absl::Time now = std::exchange(first_query_at, overdue_at + absl::Minutes(1));
        REQUIRE(is_query_due_at(now));
        for (const int milliseconds : {500, 1000, 2000, 4000, 5000, 5000}) {
            CHECK(monitor.record_query_response(attempt, state, now) == attempt_monitor_action::none);
            now += absl::Milliseconds(milliseconds);
            CHECK(is_query_due_at(now));
        }
        monitor.remove(attempt);
        monitor.start(attempt, overdue_at + absl::Minutes(1), times_out_at + absl::Minutes(1));
    }
}

// Guards against useless queries to servers that do not track their attempts, and against ending these
// attempts before their timeout.
TEST_CASE_FIXTURE(attempt_monitor_fixture, "an attempt is not queried again after the response not_stated") {
    REQUIRE(is_query_due_at(overdue_at));
    CHECK(monitor.record_query_response(attempt, attempt_state::not_stated, overdue_at) ==
          attempt_monitor_action::none);
    CHECK_FALSE(monitor.next_query(times_out_at));
    CHECK(monitor.take_timed_out(times_out_at) == std::vector{attempt});
}

// Guards against a burst of queries when many attempts become overdue at once.
TEST_CASE("at most 100 queries are sent per second, the most overdue attempt first") {
    attempt_monitor monitor;
    const absl::Time start = absl::UnixEpoch();
    for (int index = 0; index < 500; ++index) {
        monitor.start(attempt_id("a" + std::to_string(1000 - index)), start + absl::Microseconds(index),
                      start + absl::Hours(1));
    }
    int queried = 0;
    for (int millisecond = 0; millisecond < 1000; ++millisecond) {
        const auto next = monitor.next_query(start + absl::Milliseconds(millisecond));
        if (next) {
            CHECK(next->value() == "a" + std::to_string(1000 - queried));
            ++queried;
        }
    }
    CHECK(queried == 100);
}

// Guards against an attempt that occupies its slot and its thread beyond its timeout.
TEST_CASE_FIXTURE(attempt_monitor_fixture, "an attempt past its timeout is reported once") {
    CHECK(monitor.take_timed_out(times_out_at - absl::Milliseconds(1)).empty());
    CHECK(monitor.take_timed_out(times_out_at) == std::vector{attempt});
    CHECK(monitor.take_timed_out(times_out_at).empty());
    monitor.remove(attempt);
    CHECK_FALSE(monitor.next_query(times_out_at));
}

// Guards against a second request on a slot whose first request still runs, and against a slot that is never
// released.
TEST_CASE_FIXTURE(attempt_monitor_fixture,
                  "an abandoned attempt keeps its slot until the server no longer runs it") {
    for (const attempt_state state : {attempt_state::unknown, attempt_state::not_stated}) {
        absl::Time now = start;
        monitor.abandon(attempt, now);
        CHECK(is_query_due_at(now));
        CHECK(monitor.record_query_response(attempt, attempt_state::running, now) ==
              attempt_monitor_action::none);
        now += absl::Milliseconds(500);
        CHECK(is_query_due_at(now));
        CHECK(monitor.record_query_response(attempt, attempt_state::not_answered, now) ==
              attempt_monitor_action::none);
        now += absl::Seconds(1);
        CHECK(is_query_due_at(now));
        CHECK(monitor.take_timed_out(times_out_at).empty());
        CHECK(monitor.record_query_response(attempt, state, now) == attempt_monitor_action::release_slot);
        CHECK(monitor.record_query_response(attempt, state, now) == attempt_monitor_action::none);
        CHECK_FALSE(monitor.next_query(times_out_at));
        monitor = attempt_monitor();
        monitor.start(attempt, overdue_at, times_out_at);
    }
}

// Guards against a query for an attempt whose slot was released, in case the attempt was abandoned while a
// query for it was in progress.
TEST_CASE_FIXTURE(attempt_monitor_fixture, "an attempt abandoned during a query has one query at a time") {
    REQUIRE(is_query_due_at(overdue_at));
    monitor.abandon(attempt, overdue_at);
    CHECK(monitor.record_query_response(attempt, attempt_state::running, overdue_at) ==
          attempt_monitor_action::none);
    const absl::Time second_query_at = overdue_at + absl::Milliseconds(500);
    REQUIRE(is_query_due_at(second_query_at));
    CHECK(monitor.record_query_response(attempt, attempt_state::unknown, second_query_at) ==
          attempt_monitor_action::release_slot);
    CHECK_FALSE(monitor.next_query(times_out_at));
}

}  // namespace masticpass
