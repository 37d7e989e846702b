#include <cstdint>
#include <future>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fleet_schedule.h"

namespace masticpass {

namespace {

constexpr std::uint64_t schedule_count = 10'000;
// Schedules are independent of each other and run in parallel to keep the test short.
constexpr std::uint64_t thread_count = 4;

struct schedule_totals {
    long writes = 0;
    long reboots = 0;
    long moves = 0;
    // The lowest seed of this part that violates an invariant; 0 if there is none.
    std::uint64_t failing_seed = 0;
    std::string violation;
};

// Runs every thread_count-th seed from `first` on, up to the first violation.
schedule_totals run_part(std::uint64_t first) {
    schedule_totals totals;
    for (std::uint64_t seed = first; seed <= schedule_count; seed += thread_count) {
        fleet_schedule schedule(seed, disabled_guard::none);
        totals.violation = schedule.run();
        if (!totals.violation.empty()) {
            totals.failing_seed = seed;
            return totals;
        }
        totals.writes += schedule.writes();
        totals.reboots += schedule.reboots();
        totals.moves += schedule.moves();
    }
    return totals;
}

// The lowest seed whose schedule violates an invariant with the disabled guard; 0 if there is none.
std::uint64_t first_failing_seed(disabled_guard guard) {
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        if (!fleet_schedule(seed, guard).run().empty()) {
            return seed;
        }
    }
    return 0;
}

}  // namespace

// Guards against interleavings of failures that violate the single ownership, a budget, the newer boot
// identity before a return to service, the draining before a reboot, or the end of a wave.
TEST_CASE("10,000 random schedules keep the maintenance invariants") {
    std::vector<std::future<schedule_totals>> parts;
    for (std::uint64_t first = 1; first <= thread_count; ++first) {
        parts.push_back(std::async(std::launch::async, run_part, first));
    }
    schedule_totals totals;
    for (auto& part : parts) {
        const schedule_totals result = part.get();
        INFO("seed " << result.failing_seed << ", " << result.violation);
        CHECK(result.failing_seed == 0);
        totals.writes += result.writes;
        totals.reboots += result.reboots;
        totals.moves += result.moves;
    }
    MESSAGE("writes " << totals.writes << ", reboots " << totals.reboots << ", moves " << totals.moves);
    // The schedules must contain enough writes, reboots and moves to be significant.
    CHECK(totals.writes > 100'000);
    CHECK(totals.reboots > 20'000);
    CHECK(totals.moves > 1'000);
}

// Guards against invariants that cannot fail: each disabled guard must lead to a violation.
TEST_CASE("schedules with a disabled guard violate an invariant") {
    for (const auto guard : {disabled_guard::store_comparison, disabled_guard::reboot_condition,
                             disabled_guard::observed_failures, disabled_guard::drain_operation,
                             disabled_guard::list_order, disabled_guard::departure_evidence}) {
        const std::uint64_t seed = first_failing_seed(guard);
        INFO("disabled guard " << static_cast<int>(guard));
        CHECK(seed != 0);
        if (seed != 0) {
            MESSAGE("disabled guard " << static_cast<int>(guard) << " detected at seed " << seed << ": "
                                      << fleet_schedule(seed, guard).run().substr(0, 100));
        }
    }
}

}  // namespace masticpass
