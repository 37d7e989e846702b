#include "decision/serving/attempt_monitor.h"

#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

namespace masticpass {

namespace {

struct fixture {
    const attempt_id attempt{"a1"};
    const absl::Time start = absl::UnixEpoch();
    const absl::Time overdue = start + absl::Seconds(1);
    const absl::Time limit = start + absl::Minutes(1);
    attempt_monitor monitor;

    fixture() { monitor.start(attempt, overdue, limit); }

    // Whether the attempt is asked about at this time and not 1 ms earlier.
    bool is_asked_at(absl::Time time) {
        return !monitor.next_query(time - absl::Milliseconds(1)) && monitor.next_query(time) == attempt;
    }
};

}  // namespace

// Guards against load on servers by attempts that take no longer than usual, and against questions about
// attempts that have ended.
TEST_CASE_FIXTURE(fixture, "an attempt is queried when it is overdue and not after its end") {
    CHECK(is_asked_at(overdue));
    CHECK_FALSE(monitor.next_query(limit));
    monitor.remove(attempt);
    CHECK(monitor.record_answer(attempt, attempt_state::unknown, overdue) == attempt_monitor_action::none);
    CHECK_FALSE(monitor.next_query(limit));
    monitor.start(attempt_id("a2"), overdue, limit);
    monitor.remove(attempt_id("a2"));
    CHECK_FALSE(monitor.next_query(limit));
    CHECK(monitor.take_timed_out(limit).empty());
}

// Guards against the end of an attempt whose response is on its way when the server first answers `unknown`.
TEST_CASE_FIXTURE(fixture, "two answers unknown at least 500 ms apart end an attempt, one does not") {
    REQUIRE(is_asked_at(overdue));
    CHECK(monitor.record_answer(attempt, attempt_state::unknown, overdue) == attempt_monitor_action::none);
    const absl::Time second = overdue + absl::Milliseconds(500);
    REQUIRE(is_asked_at(second));
    CHECK(monitor.record_answer(attempt, attempt_state::unknown, second) ==
          attempt_monitor_action::end_attempt);
}

// Guards against the end of an attempt that the server runs: an answer `running` between two answers
// `unknown` shows that the first one is out of date.
TEST_CASE_FIXTURE(fixture, "the answer running cancels an earlier unknown, a missing answer does not") {
    absl::Time now = overdue;
    const auto answers = [&](attempt_state state) {
        now += absl::Seconds(10);
        REQUIRE(monitor.next_query(now) == attempt);
        return monitor.record_answer(attempt, state, now);
    };
    CHECK(answers(attempt_state::unknown) == attempt_monitor_action::none);
    CHECK(answers(attempt_state::running) == attempt_monitor_action::none);
    CHECK(answers(attempt_state::unknown) == attempt_monitor_action::none);
    CHECK(answers(attempt_state::not_answered) == attempt_monitor_action::none);
    CHECK(answers(attempt_state::unknown) == attempt_monitor_action::end_attempt);
}

// Guards against steady load on a server by a long job, and on one that does not answer.
TEST_CASE_FIXTURE(fixture, "the interval doubles from 500 ms to 5 s while the server does not say unknown") {
    absl::Time begins = overdue;
    for (const attempt_state state : {attempt_state::running, attempt_state::not_answered}) {
        absl::Time now = std::exchange(begins, overdue + absl::Minutes(1));
        REQUIRE(is_asked_at(now));
        for (const int milliseconds : {500, 1000, 2000, 4000, 5000, 5000}) {
            CHECK(monitor.record_answer(attempt, state, now) == attempt_monitor_action::none);
            now += absl::Milliseconds(milliseconds);
            CHECK(is_asked_at(now));
        }
        monitor.remove(attempt);
        monitor.start(attempt, overdue + absl::Minutes(1), limit + absl::Minutes(1));
    }
}

// Guards against useless questions to servers that keep no track of their attempts, and against the end of
// their attempts.
TEST_CASE_FIXTURE(fixture, "an attempt is not queried again when the server states nothing about it") {
    REQUIRE(is_asked_at(overdue));
    CHECK(monitor.record_answer(attempt, attempt_state::not_stated, overdue) == attempt_monitor_action::none);
    CHECK_FALSE(monitor.next_query(limit));
    CHECK(monitor.take_timed_out(limit) == std::vector{attempt});
}

// Guards against a burst of queries when many attempts become overdue at once.
TEST_CASE("at most 100 queries are sent in a second, the most overdue attempt first") {
    attempt_monitor monitor;
    const absl::Time start = absl::UnixEpoch();
    for (int index = 0; index < 500; ++index) {
        monitor.start(attempt_id("a" + std::to_string(1000 - index)), start + absl::Microseconds(index),
                      start + absl::Hours(1));
    }
    int asked = 0;
    for (int millisecond = 0; millisecond < 1000; ++millisecond) {
        const auto next = monitor.next_query(start + absl::Milliseconds(millisecond));
        if (next) {
            CHECK(next->value() == "a" + std::to_string(1000 - asked));
            ++asked;
        }
    }
    CHECK(asked == 100);
}

// Guards against an attempt that holds its slot and its thread beyond its time limit.
TEST_CASE_FIXTURE(fixture, "an attempt past its time limit is reported once") {
    CHECK(monitor.take_timed_out(limit - absl::Milliseconds(1)).empty());
    CHECK(monitor.take_timed_out(limit) == std::vector{attempt});
    CHECK(monitor.take_timed_out(limit).empty());
    monitor.remove(attempt);
    CHECK_FALSE(monitor.next_query(limit));
}

// Guards against a second request on a slot whose first request still runs, and against a slot that is lost.
TEST_CASE_FIXTURE(fixture, "an abandoned attempt keeps its slot until the server no longer runs it") {
    for (const attempt_state state : {attempt_state::unknown, attempt_state::not_stated}) {
        absl::Time now = start;
        monitor.abandon(attempt, now);
        CHECK(is_asked_at(now));
        CHECK(monitor.record_answer(attempt, attempt_state::running, now) == attempt_monitor_action::none);
        now += absl::Milliseconds(500);
        CHECK(is_asked_at(now));
        CHECK(monitor.record_answer(attempt, attempt_state::not_answered, now) ==
              attempt_monitor_action::none);
        now += absl::Seconds(1);
        CHECK(is_asked_at(now));
        CHECK(monitor.take_timed_out(limit).empty());
        CHECK(monitor.record_answer(attempt, state, now) == attempt_monitor_action::release_slot);
        CHECK(monitor.record_answer(attempt, state, now) == attempt_monitor_action::none);
        CHECK_FALSE(monitor.next_query(limit));
        monitor = attempt_monitor();
        monitor.start(attempt, overdue, limit);
    }
}

// Guards against an attempt that is asked about after its slot was released, when it was abandoned while it
// was asked about.
TEST_CASE_FIXTURE(fixture, "an attempt that is abandoned during a query has one query at a time") {
    REQUIRE(is_asked_at(overdue));
    monitor.abandon(attempt, overdue);
    CHECK(monitor.record_answer(attempt, attempt_state::running, overdue) == attempt_monitor_action::none);
    const absl::Time second = overdue + absl::Milliseconds(500);
    REQUIRE(is_asked_at(second));
    CHECK(monitor.record_answer(attempt, attempt_state::unknown, second) ==
          attempt_monitor_action::release_slot);
    CHECK_FALSE(monitor.next_query(limit));
}

}  // namespace masticpass
