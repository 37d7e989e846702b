#include <cstdint>
#include <string>

#include <doctest/doctest.h>

#include "fleet_schedule.h"

namespace masticpass {

namespace {

constexpr std::uint64_t schedule_count = 10'000;

// The first seed from 1 whose schedule violates an invariant without the guard; 0 if none does.
std::uint64_t first_failing_seed(removed_guard guard) {
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
    long writes = 0;
    long reboots = 0;
    long moves = 0;
    for (std::uint64_t seed = 1; seed <= schedule_count; ++seed) {
        fleet_schedule schedule(seed, removed_guard::none);
        const std::string violation = schedule.run();
        INFO("seed " << seed << ", " << violation);
        REQUIRE(violation.empty());
        writes += schedule.writes();
        reboots += schedule.reboots();
        moves += schedule.moves();
    }
    MESSAGE("writes " << writes << ", reboots " << reboots << ", moves " << moves);
    // Schedules in which nothing happens would prove nothing.
    CHECK(writes > 100'000);
    CHECK(reboots > 20'000);
    CHECK(moves > 1'000);
}

// Guards against invariants that cannot fail: each guard removed must be noticed.
TEST_CASE("schedules without one guard violate an invariant") {
    for (const auto guard :
         {removed_guard::store_comparison, removed_guard::reboot_condition, removed_guard::observed_failures,
          removed_guard::drain_operation, removed_guard::list_order, removed_guard::departure_evidence}) {
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
