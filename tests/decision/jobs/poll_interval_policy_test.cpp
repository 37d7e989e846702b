#include "decision/jobs/poll_interval_policy.h"

#include <doctest/doctest.h>

namespace masticpass {

// Load pattern: a turn in which 250 workers each end several tasks a second. Guards against looks that take
// the processor that starts need.
TEST_CASE("many busy workers are looked at less often") {
    const poll_interval_policy pacing{.cores = 0.5};
    CHECK(pacing.interval(10) == poll_interval_policy::minimum_interval);
    const double looks_per_second = 250 / absl::ToDoubleSeconds(pacing.interval(250));
    CHECK(looks_per_second <= 1.01 * 0.5 * poll_interval_policy::polls_per_core_second);
    CHECK(pacing.interval(5000) == poll_interval_policy::maximum_interval);
}

}  // namespace masticpass
