#include "decision/jobs/job_simulation.h"

#include <doctest/doctest.h>

namespace masticpass {

namespace {

constexpr unsigned seed_count = 10000;

// Returns the first seed whose simulation violates an invariant; 0 if there is none.
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

// Random sequences of faults: owners crash, are paused and lose their record in the store unnoticed; workers
// crash, restart under the same id and are partitioned; orders and responses are lost or delayed; and the
// store is unavailable.
TEST_CASE("no random fault sequence runs a task twice, out of order or never") {
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

// Checks that the simulation detects the lack of each guard.
TEST_CASE("disabling a guard causes a violation") {
    std::string what;
    SUBCASE("a start without a response is treated as not sent") {
        CHECK(first_failing_seed({.treats_lost_starts_as_unsent = true}, 500, what) != 0);
    }
    SUBCASE("a new owner does not wait for workers that do not respond") {
        CHECK(first_failing_seed({.skips_takeover_wait = true}, 500, what) != 0);
    }
    SUBCASE("the restart of a worker releases runs that the new incarnation has accepted") {
        CHECK(first_failing_seed({.releases_all_runs_at_restart = true}, 500, what) != 0);
    }
    SUBCASE("a report that lists some of the run ends counts as complete") {
        CHECK(first_failing_seed({.takes_partial_reports_as_complete = true}, 500, what) != 0);
    }
    SUBCASE("a new owner does not know which run numbers were used") {
        CHECK(first_failing_seed({.forgets_run_numbers = true}, 500, what) != 0);
    }
    SUBCASE("a run end is acknowledged before its record is stored") {
        CHECK(first_failing_seed({.acknowledges_before_storing = true}, 500, what) != 0);
    }
}

}  // namespace masticpass
