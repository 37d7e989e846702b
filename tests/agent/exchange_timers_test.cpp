#include "agent/exchange_timers.h"

#include <algorithm>
#include <random>

#include <doctest/doctest.h>

namespace masticpass {

// Guards against one entry VM of a pair bearing most of the cost of the exchanges, and against intervals so
// long that a live peer exceeds the heartbeat timeout.
TEST_CASE("each entry VM of a pair starts about half of the exchanges, 0.8 to 1.2 intervals apart") {
    constexpr int exchanges = 10'000;
    std::mt19937_64 first_random{1};
    std::mt19937_64 second_random{2};
    exchange_timers first(absl::Seconds(1), first_random);
    exchange_timers second(absl::Seconds(1), second_random);
    absl::Time now = absl::UnixEpoch();
    int started_by_first = 0;
    for (int count = 0; count < exchanges; ++count) {
        first.restart("second", now);
        second.restart("first", now);
        const absl::Duration first_remaining = first.time_remaining("second", now);
        const absl::Duration second_remaining = second.time_remaining("first", now);
        const absl::Duration pause = std::min(first_remaining, second_remaining);
        REQUIRE(pause >= absl::Milliseconds(800));
        REQUIRE(std::max(first_remaining, second_remaining) <= absl::Milliseconds(1200));
        started_by_first += first_remaining < second_remaining ? 1 : 0;
        now += pause;
    }
    CHECK(started_by_first > exchanges * 48 / 100);
    CHECK(started_by_first < exchanges * 52 / 100);
}

// Guards against never starting an exchange with a peer, and against the timer of one peer delaying another.
TEST_CASE("the timer of a peer has ended if it was never started or its duration has passed") {
    std::mt19937_64 random{1};
    exchange_timers timers(absl::Seconds(1), random);
    const absl::Time now = absl::UnixEpoch();
    CHECK(timers.time_remaining("a", now) == absl::ZeroDuration());
    timers.restart("a", now);
    CHECK(timers.time_remaining("a", now) > absl::ZeroDuration());
    CHECK(timers.time_remaining("b", now) == absl::ZeroDuration());
    CHECK(timers.time_remaining("a", now + absl::Milliseconds(1201)) == absl::ZeroDuration());
}

}  // namespace masticpass
