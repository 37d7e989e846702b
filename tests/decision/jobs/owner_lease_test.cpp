#include "decision/jobs/owner_lease.h"

#include <random>

#include <doctest/doctest.h>

#include "decision/jobs/worker_clock.h"

namespace masticpass {

namespace {

constexpr absl::Time start = absl::UnixEpoch();

}  // namespace

// Guards against a takeover that starts a task again while a worker still runs it under the earlier owner's
// lease: every run lease that an owner grants in the rest of its own lease has ended, on the slowest clock,
// after the next owner has waited.
TEST_CASE("run leases of an earlier owner end within the takeover wait of the next") {
    std::mt19937 random(7);
    const ownership_limits limits;
    for (int round = 0; round < 10000; ++round) {
        std::uniform_int_distribution<int> milliseconds(0, 20000);
        const absl::Time renewed_at = start + absl::Milliseconds(milliseconds(random));
        owner_lease lease(limits, renewed_at);
        // The owner's record can be removed at any time after the renewal reached the store, unnoticed by the
        // owner.
        const absl::Time taken_over_at = renewed_at + absl::Milliseconds(milliseconds(random) % 2000);
        const absl::Time sent_at = renewed_at + absl::Milliseconds(milliseconds(random) % 3000);
        if (!lease.is_valid(sent_at)) {
            continue;
        }
        worker_clock clock(limits);
        clock.observe(1, 0, sent_at - absl::Milliseconds(milliseconds(random) % 1000));
        clock.extend_lease(lease.run_lease_end(sent_at));
        INFO("round ", round);
        CHECK(clock.lease_end() <= taken_over_at + limits.takeover_wait());
    }
}

// Guards against a task that starts elsewhere while a restarted worker still runs it: the worker executed an
// order that carried a time of its earlier clock, and granted the longest run lease.
TEST_CASE("the run leases of a restarted worker end after the longest duration") {
    const ownership_limits limits;
    worker_clock clock(limits);
    clock.observe(1, 500000, start);
    clock.extend_lease(start + limits.run_lease_duration);
    const absl::Time restart_seen_at = start + absl::Seconds(1);
    clock.note_incarnation(2, restart_seen_at);
    CHECK_FALSE(clock.has_reading());
    CHECK(clock.lease_end() >= restart_seen_at + limits.maximum_run_lease / limits.minimum_worker_clock_rate);
    SUBCASE("a late reading of the earlier clock is ignored") {
        clock.observe(1, 500900, restart_seen_at);
        CHECK_FALSE(clock.has_reading());
    }
    SUBCASE("a reading of the new clock is used") {
        clock.observe(2, 30, restart_seen_at);
        REQUIRE(clock.has_reading());
        CHECK(clock.extend_lease(restart_seen_at + absl::Seconds(1)) == 1030);
    }
}

// Guards against work that is lost because an outage of the store outlasts the run leases.
TEST_CASE("an owner that cannot renew its lease extends run leases beyond it") {
    const ownership_limits limits;
    const owner_lease lease(limits, start);
    const absl::Time last = lease.end() - absl::Milliseconds(1);
    CHECK(lease.run_lease_end(last) >= start + absl::Seconds(5) + limits.time_to_live);
    CHECK(lease.run_lease_end(last) <= last + limits.maximum_run_lease);
}

// Guards against tasks of a failed worker that wait longer than needed while the owner renews its lease in
// time.
TEST_CASE("an owner that renews its lease in time grants short run leases") {
    const ownership_limits limits;
    const owner_lease lease(limits, start);
    CHECK(lease.run_lease_end(start + absl::Milliseconds(500)) ==
          start + absl::Milliseconds(500) + limits.run_lease_duration);
}

// Guards against an owner that was paused and continues to act after its lease has ended.
TEST_CASE("a lease ends without a renewal") {
    const ownership_limits limits;
    owner_lease lease(limits, start);
    CHECK(lease.is_valid(start + absl::Milliseconds(1800)));
    CHECK_FALSE(lease.is_valid(start + limits.time_to_live));
    lease.renew(start + absl::Seconds(1));
    CHECK(lease.is_valid(start + limits.time_to_live));
    lease.renew(start);
    CHECK(lease.is_valid(start + limits.time_to_live));
}

}  // namespace masticpass
