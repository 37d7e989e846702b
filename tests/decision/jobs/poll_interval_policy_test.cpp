#include "decision/jobs/poll_interval_policy.h"

#include <doctest/doctest.h>

namespace masticpass {

// Load pattern: a burst in which 250 workers each end several tasks per second. Guards against polls that use
// the CPU time that starting tasks needs.
TEST_CASE("each of many busy workers is polled less often") {
    const poll_interval_policy policy{.cores = 0.5};
    CHECK(policy.interval(10) == poll_interval_policy::minimum_interval);
    const double polls_per_second = 250 / absl::ToDoubleSeconds(policy.interval(250));
    CHECK(polls_per_second <= 1.01 * 0.5 * poll_interval_policy::polls_per_core_second);
    CHECK(policy.interval(5000) == poll_interval_policy::maximum_interval);
}

}  // namespace masticpass
