#include "decision/jobs/owner_preference.h"

#include <doctest/doctest.h>

namespace masticpass {

namespace {

const absl::Time missing_since = absl::UnixEpoch() + absl::Seconds(100);

}  // namespace

// Guards against an owner on the smallest VM of a mixed fleet, which saturates its CPU.
TEST_CASE("a small VM leaves a shard to larger ones for a limited time, and then acquires it") {
    const owner_preference small{.own_cores = 0.12};
    CHECK_FALSE(small.may_acquire(0.5, missing_since, missing_since));
    CHECK_FALSE(small.may_acquire(0.5, missing_since, missing_since + absl::Seconds(1)));
    CHECK(small.may_acquire(0.5, missing_since, missing_since + owner_preference::small_vm_delay));
    CHECK(small.may_acquire(0.12, missing_since, missing_since));
}

// Guards against VMs of nearly the same size that repeatedly take a shard from each other.
TEST_CASE("a VM replaces an owner only if it is larger by the minimum size ratio") {
    const owner_preference large{.own_cores = 0.5};
    CHECK(large.may_acquire(0.5, missing_since, missing_since));
    CHECK(large.should_replace(0.12));
    CHECK_FALSE(large.should_replace(0.4));
    CHECK_FALSE(large.should_replace(0.5));
}

}  // namespace masticpass
