#include "decision/jobs/poll_interval_policy.h"

#include <doctest/doctest.h>

namespace masticpass {

// Load pattern: a burst in which 250 workers each end several tasks per second. Guards against polls that use
// the CPU time that starting tasks needs.
TEST_CASE("each of many busy workers is polled less often") {
    const poll_interval_policy pacing{.cores = 0.5};
    CHECK(pacing.interval(10) == poll_interval_policy::minimum_interval);
    const double polls_per_second = 250 / absl::ToDoubleSeconds(pacing.interval(250));
    CHECK(polls_per_second <= 1.01 * 0.5 * poll_interval_policy::polls_per_core_second);
    CHECK(pacing.interval(5000) == poll_interval_policy::maximum_interval);
}

}  // namespace masticpass
