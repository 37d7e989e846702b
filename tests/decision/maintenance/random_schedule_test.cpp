#include <cstdint>
#include <future>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fleet_schedule.h"

namespace masticpass {

namespace {

constexpr std::uint64_t schedule_count = 10'000;
// Schedules are independent of each other, so some run at the same time to keep the test short.
constexpr std::uint64_t thread_count = 4;

struct schedule_totals {
    long writes = 0;
    long reboots = 0;
    long moves = 0;
    // The lowest failing seed of this part, 0 if none.
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

// The first seed from 1 whose schedule violates an invariant without the guard; 0 if none does.
std::uint64_t first_failing_seed(disabled_guard guard) {
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        if (!fleet_schedule(seed, guard).run().empty()) {
            return seed;
        }
    }
    return 0;
}

}  // namespace

// Guards against any interleaving of failures that breaks ownership, a budget, the evidence for a release,
// the draining before a reboot, or the end of a wave.
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
    // Schedules in which nothing happens would prove nothing.
    CHECK(totals.writes > 100'000);
    CHECK(totals.reboots > 20'000);
    CHECK(totals.moves > 1'000);
}

// Guards against invariants that cannot fail: each guard removed must be noticed.
TEST_CASE("schedules without one guard violate an invariant") {
    for (const auto guard : {disabled_guard::store_comparison, disabled_guard::reboot_condition,
                             disabled_guard::observed_failures, disabled_guard::drain_operation,
                             disabled_guard::list_order, disabled_guard::departure_evidence}) {
        const std::uint64_t seed = first_failing_seed(guard);
        INFO("removed guard " << static_cast<int>(guard));
        CHECK(seed != 0);
        if (seed != 0) {
            MESSAGE("removed guard " << static_cast<int>(guard) << " caught at seed " << seed << ": "
                                     << fleet_schedule(seed, guard).run().substr(0, 100));
        }
    }
}

}  // namespace masticpass
