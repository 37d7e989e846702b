#include <cstdint>
#include <optional>
#include <string>

#include <doctest/doctest.h>

#include "decision/configuration/random_schedule.h"

namespace masticpass {

namespace {

constexpr std::uint64_t seed_count = 10000;

// Returns the first seed whose schedule violates a rule, or nullopt if there is none.
std::optional<std::uint64_t> first_violating_seed(disabled_rule disabled) {
    for (std::uint64_t seed = 0; seed < seed_count; ++seed) {
        if (random_schedule(seed, disabled).run()) {
            return seed;
        }
    }
    return std::nullopt;
}

}  // namespace

// Guards against a change that is lost or takes effect twice, and against a revision in force that decreases,
// when operators act concurrently, responses are lost, writes arrive late and reads are stale.
TEST_CASE("concurrent changes are each stored once or refused") {
    for (std::uint64_t seed = 0; seed < seed_count; ++seed) {
        const auto violation = random_schedule(seed, disabled_rule::none).run();
        if (violation) {
            FAIL("seed ", seed, ": ", *violation);
        }
    }
}

// Guards against checks that do not detect violations.
TEST_CASE("the checks detect each disabled rule") {
    for (const disabled_rule disabled : {disabled_rule::conflict_check, disabled_rule::change_id_history,
                                         disabled_rule::unknown_outcome, disabled_rule::gate}) {
        CAPTURE(static_cast<int>(disabled));
        CHECK(first_violating_seed(disabled).has_value());
    }
}

}  // namespace masticpass
