#include "decision/placement/random_schedule.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include <doctest/doctest.h>

namespace masticpass {

// Guards against faults in combinations of demand, failures and unfinished moves that the other tests do not
// cover.
TEST_CASE("10,000 random schedules keep the invariants of placement") {
    for (std::uint64_t seed = 1; seed <= 10'000; ++seed) {
        const auto violation = random_schedule(seed, injected_fault::none).run();
        REQUIRE_MESSAGE(violation.empty(), "seed " << seed << ": " << violation);
    }
}

// Guards against invariants that hold whatever the planner does.
TEST_CASE("an injected fault violates the corresponding invariant") {
    const std::pair<injected_fault, std::string> faults[] = {
        {injected_fault::second_target_for_a_vm, "a VM in one pool"},
        {injected_fault::minimum_ignored, "minimum kept"},
        {injected_fault::budget_ignored, "budget kept"},
        {injected_fault::quota_ignored, "quota kept"},
        {injected_fault::vm_moved_back, "no oscillation"},
        {injected_fault::changed_pool_not_assessed, "incremental result equals full"},
        {injected_fault::no_moves, "loss survived"},
    };
    for (const auto& planted : faults) {
        const std::string& invariant = planted.second;
        std::set<std::string> violations;
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            violations.insert(random_schedule(seed, planted.first).run());
        }
        CHECK_MESSAGE(violations.contains(invariant), "not detected: " << invariant);
    }
}

}  // namespace masticpass
