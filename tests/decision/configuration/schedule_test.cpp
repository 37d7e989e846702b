#include <cstdint>
#include <optional>
#include <string>

#include <doctest/doctest.h>

#include "decision/configuration/random_schedule.h"

namespace masticpass {

namespace {

constexpr std::uint64_t seeds = 10000;

// The first seed whose schedule violates a rule.
std::optional<std::uint64_t> first_violation(broken_rule broken) {
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        if (random_schedule(seed, broken).run()) {
            return seed;
        }
    }
    return std::nullopt;
}

}  // namespace

// Guards against a change that vanishes or has two effects, and a revision in force that goes down, when
// operators race, responses are lost, writes arrive late and reads are stale.
TEST_CASE("racing changes are each stored once or refused") {
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        const auto violation = random_schedule(seed, broken_rule::none).run();
        if (violation) {
            FAIL("seed ", seed, ": ", *violation);
        }
    }
}

// Guards against checks that notice nothing.
TEST_CASE("a schedule with a broken rule is noticed") {
    for (const broken_rule broken : {broken_rule::conflict_check, broken_rule::change_id_history,
                                     broken_rule::unknown_outcome, broken_rule::gate}) {
        CAPTURE(static_cast<int>(broken));
        CHECK(first_violation(broken).has_value());
    }
}

}  // namespace masticpass
