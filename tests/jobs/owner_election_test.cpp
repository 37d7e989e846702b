#include "jobs/owner_election.h"

#include <doctest/doctest.h>

#include "fakes/wait_until.h"
#include "jobs/job_keys.h"
#include "jobs/owner_fakes.h"

namespace masticpass {

namespace {

struct election_fixture : owner_environment {
    std::unique_ptr<owner_election> join(const std::string& name) {
        return std::make_unique<owner_election>(dependencies(), shard_owner::options{}, name);
    }
    std::string owner_name() const { return store.value(job_keys::owner(0)); }
};

}  // namespace

// Load pattern: the store is down for longer than the owner's lease and pauses leases meanwhile, while jobs
// keep arriving. Guards against a shard that has no owner for the rest of the paused lease. In this store a
// lease never ends by itself.
TEST_CASE("a shard has an owner again soon after an outage of the store that paused its lease") {
    election_fixture fixture;
    const auto first = fixture.join("first");
    REQUIRE(fakes::wait_until([&] { return first->is_owner(); }));
    fixture.store.set_down(true);
    REQUIRE(fakes::wait_until([&] { return !first->is_owner(); }));
    fixture.store.set_down(false);
    CHECK(fakes::wait_until([&] { return first->is_owner(); }));
}

// Guards against a process that releases the term of another one.
TEST_CASE("a process that lost its term leaves the next owner alone") {
    election_fixture fixture;
    const auto first = fixture.join("first");
    REQUIRE(fakes::wait_until([&] { return first->is_owner(); }));
    const auto second = fixture.join("second");
    const auto stored = fixture.store.read(job_keys::owner(0));
    REQUIRE(stored.has_value());
    fixture.store.expire_lease(stored->lease);
    REQUIRE(fakes::wait_until([&] { return fixture.owner_name() == "second" || !first->is_owner(); }));
    REQUIRE(fakes::wait_until([&] { return first->is_owner() != second->is_owner(); }));
    const std::string owner = fixture.owner_name();
    const auto revision = fixture.store.read(job_keys::owner(0))->created;
    const int calls = fixture.store.calls("read");
    REQUIRE(fakes::wait_until([&] { return fixture.store.calls("read") > calls + 4; }));
    CHECK(fixture.owner_name() == owner);
    CHECK(fixture.store.read(job_keys::owner(0))->created == revision);
}

}  // namespace masticpass
