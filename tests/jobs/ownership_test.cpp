#include "jobs/ownership.h"

#include <doctest/doctest.h>

#include "fakes/manual_clock.h"

namespace masticpass {

// Guards against an owner that holds the shard without serving it: a renewal whose response arrived late made
// a term valid again after it had ended, when some threads of the owner had already exited.
TEST_CASE("a late renewal does not make an ended term valid again") {
    fakes::manual_clock time;
    const ownership_limits limits;
    ownership owner(7, limits, time.now(), time);
    CHECK(owner.is_valid());
    time.advance(absl::Seconds(1));
    const absl::Time sent_at = time.now();
    time.advance(limits.time_to_live - absl::Seconds(1));
    SUBCASE("the end was observed before the renewal") {
        CHECK_FALSE(owner.is_valid());
    }
    SUBCASE("the renewal is the first to observe the end") {}
    owner.renew(sent_at);
    CHECK_FALSE(owner.is_valid());
}

TEST_CASE("a timely renewal extends the term") {
    fakes::manual_clock time;
    const ownership_limits limits;
    ownership owner(7, limits, time.now(), time);
    time.advance(absl::Seconds(1));
    owner.renew(time.now());
    time.advance(limits.time_to_live - absl::Milliseconds(500));
    CHECK(owner.is_valid());
    owner.end();
    CHECK_FALSE(owner.is_valid());
}

}  // namespace masticpass
