#include "jobs/shard_owner.h"

#include <atomic>
#include <memory>
#include <stdexcept>

#include <doctest/doctest.h>

#include "fakes/wait_until.h"
#include "jobs/job_keys.h"
#include "jobs/job_record_writer.h"
#include "jobs/owner_fakes.h"

namespace masticpass {

namespace {

struct owner_fixture : owner_environment {
    void start() {
        owner = std::make_unique<shard_owner>(dependencies(), shard_owner::options{}, acquire());
        REQUIRE(fakes::wait_until([&] { return directory.calls > 0; }));
        CHECK(owner->is_active());
    }

    // Creates the keys as owner_election does.
    shard_owner::term acquire() {
        const absl::Time granted_at = time.now();
        fenced_writer::owner_key key{.key = job_keys::owner(0), .value = "me"};
        key.lease = *store.grant_lease(absl::Seconds(2));
        store_transaction creation{.writes = {{.key = key.key, .value = key.value, .lease = key.lease}}};
        for (std::size_t partition = 0; partition < job_record_writer::partition_count; ++partition) {
            creation.writes.push_back(
                {.key = job_keys::owner_partition(0, partition), .value = key.value, .lease = key.lease});
        }
        key.create_revision = *store.transact(creation);
        key.last_revision = key.create_revision;
        return {.key = key, .granted_at = granted_at};
    }

    std::unique_ptr<shard_owner> owner;
};

}  // namespace

// Guards against an unexpected error in one thread of the owner that ends the process, or that leaves an
// owner in office without that thread.
TEST_CASE("an exception in a thread of the owner ends the term") {
    owner_fixture fixture;
    fixture.start();
    SUBCASE("while the directory is read") {
        fixture.directory.must_throw = true;
    }
    SUBCASE("while VMs are listed") {
        fixture.vms.must_throw = true;
    }
    SUBCASE("in the event loop") {
        fixture.channels.must_throw = true;
    }
    SUBCASE("while a store call is in progress") {
        fixture.store.set_hook(
            [](std::string_view, std::string_view) { throw std::runtime_error("injected in the store"); });
    }
    CHECK(fakes::wait_until([&] { return !fixture.owner->is_active(); }));
    fixture.store.set_hook({});
}

// Guards against a list of known workers with one unreadable address that ends every later owner.
TEST_CASE("an unreadable address in the list of known workers does not end the term") {
    owner_fixture fixture;
    fixture.store.put(job_keys::workers(0), R"({"w1":"127.0.0.1:1","w2":{"a":1},"w3":7})");
    fixture.start();
    const int calls = fixture.directory.calls;
    CHECK(fakes::wait_until([&] { return fixture.directory.calls > calls + 2; }));
    CHECK(fixture.owner->is_active());
}

}  // namespace masticpass
