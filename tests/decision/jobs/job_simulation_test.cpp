#include "decision/jobs/job_simulation.h"

#include <doctest/doctest.h>

namespace masticpass {

namespace {

constexpr unsigned seed_count = 10000;

// Number of the first seed whose schedule breaks a rule; 0 if none does.
unsigned first_failing_seed(job_simulation::options options, unsigned seeds, std::string& what) {
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        if (const auto violation = job_simulation(options).run()) {
            what = *violation;
            return seed;
        }
    }
    return 0;
}

}  // namespace

// Owners that die, freeze and lose their key unnoticed, workers that crash and are cut off, orders and
// answers that are lost or carried out late, and a store that is down, in random order.
TEST_CASE("no schedule runs a task twice, out of order or never") {
    std::string what;
    const unsigned seed = first_failing_seed({}, seed_count, what);
    INFO("seed ", seed, ": ", what);
    CHECK(seed == 0);
}

TEST_CASE("without faults every job ends") {
    std::string what;
    const unsigned seed = first_failing_seed({.has_faults = false}, 50, what);
    INFO("seed ", seed, ": ", what);
    CHECK(seed == 0);
}

// Each guard that is removed must be noticed, so that the schedules prove something.
TEST_CASE("a removed guard breaks a schedule") {
    std::string what;
    SUBCASE("a start without an answer is taken for one that was not sent") {
        CHECK(first_failing_seed({.treats_lost_starts_as_unsent = true}, 500, what) != 0);
    }
    SUBCASE("a new owner does not wait for silent workers") {
        CHECK(first_failing_seed({.skips_takeover_wait = true}, 500, what) != 0);
    }
    SUBCASE("an end is acknowledged before its record is stored") {
        CHECK(first_failing_seed({.acknowledges_before_storing = true}, 500, what) != 0);
    }
}

}  // namespace masticpass
