#include "decision/placement/demand_tracker.h"

#include <cstdint>

#include <doctest/doctest.h>

namespace masticpass {

namespace {

const service_name proofs("proofs");
const int window_seconds = static_cast<int>(absl::ToInt64Seconds(demand_window{}.bin_length) *
                                            static_cast<std::int64_t>(demand_window{}.bin_count));
const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

// Records one sample per second and returns the time after the last one.
absl::Time record_seconds(demand_tracker& tracker, absl::Time from, int seconds, double slots) {
    for (int second = 0; second < seconds; ++second) {
        from += absl::Seconds(1);
        tracker.record(proofs, from, slots);
    }
    return from;
}

}  // namespace

// Guards against moves because of a burst, which ends before the VMs arrive.
TEST_CASE("a burst of 5 times the mean for 8 s raises the sustained demand by less than a tenth") {
    demand_tracker tracker;
    auto now = record_seconds(tracker, start, 600, 40);
    now = record_seconds(tracker, now, 8, 200);
    CHECK(tracker.estimate(proofs, now).sustained_slots < 44);
    CHECK(tracker.estimate(proofs, now).peak_slots == 200);
}

// Guards against an estimate that depends on the phase of the burst cycle.
TEST_CASE("alternating bursts are averaged to the mean demand") {
    demand_tracker tracker;
    auto now = start;
    for (int cycle = 0; cycle < 60; ++cycle) {
        now = record_seconds(tracker, now, 8, 200);
        now = record_seconds(tracker, now, 32, 2);
        if (cycle * 40 >= window_seconds) {
            CHECK(tracker.estimate(proofs, now).sustained_slots == doctest::Approx(41.6).epsilon(0.08));
        }
    }
}

// Guards against a tracker that treats a lasting increase as a burst.
TEST_CASE("a lasting increase is sustained demand after one window") {
    demand_tracker tracker;
    auto now = record_seconds(tracker, start, 600, 40);
    now = record_seconds(tracker, now, window_seconds, 80);
    CHECK(tracker.estimate(proofs, now).sustained_slots == doctest::Approx(80).epsilon(0.1));
}

// Guards against treating a service as idle when the connection to its reporters is lost.
TEST_CASE("time without samples is unknown and not zero demand") {
    demand_tracker tracker;
    auto now = record_seconds(tracker, start, 400, 40);
    tracker.record(proofs, now + absl::Minutes(4), 40);
    CHECK(tracker.estimate(proofs, now + absl::Minutes(4)).sustained_slots == doctest::Approx(40));
    CHECK_FALSE(tracker.estimate(proofs, now + absl::Minutes(30)).reliable);
}

TEST_CASE("an estimate is reliable once samples cover half the window") {
    demand_tracker tracker;
    CHECK_FALSE(tracker.estimate(proofs, start).reliable);
    auto now = record_seconds(tracker, start, window_seconds / 2 - 10, 40);
    CHECK_FALSE(tracker.estimate(proofs, now).reliable);
    now = record_seconds(tracker, now, 20, 40);
    CHECK(tracker.estimate(proofs, now).reliable);
}

// Guards against assessing every pool in every round, and against planning from too few samples.
TEST_CASE("the planned demand changes only with a reliable estimate outside the band") {
    const demand_estimate estimate{.sustained_slots = 50, .reliable = true};
    CHECK(planned_demand(49, estimate) == 49);
    CHECK(planned_demand(40, estimate) == 50);
    CHECK(planned_demand(0, estimate) == 50);
    CHECK(planned_demand(40, {.sustained_slots = 50}) == 40);
}

// Guards against counting duplicate or late samples.
TEST_CASE("a sample that is not newer is ignored") {
    demand_tracker tracker;
    const auto now = record_seconds(tracker, start, 400, 40);
    tracker.record(proofs, now, 4000);
    tracker.record(proofs, now - absl::Seconds(5), 4000);
    CHECK(tracker.estimate(proofs, now).peak_slots == 40);
    tracker.remove(proofs);
    CHECK(tracker.service_count() == 0);
}

}  // namespace masticpass
