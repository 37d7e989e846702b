#include "jobs/shard_owner.h"

#include <atomic>
#include <memory>
#include <stdexcept>

#include <doctest/doctest.h>

#include "fakes/wait_until.h"
#include "jobs/job_keys.h"
#include "jobs/owner_fakes.h"
#include "jobs/owner_keys.h"

namespace masticpass {

namespace {

struct owner_fixture : owner_environment {
    void start() {
        vms.vms = {{.vm = vm_id("m"),
                    .pool = pool_name("p"),
                    .phase = fleet_vm_phase::up,
                    .worker = worker_id("w")}};
        owner = std::make_unique<shard_owner>(dependencies(), shard_owner::options{}, acquire());
        REQUIRE(fakes::wait_until([&] { return directory.calls > 0; }));
        CHECK(owner->is_active());
    }

    shard_owner::term acquire() {
        const absl::Time granted_at = time.now();
        return {.key = create_owner_keys(store), .granted_at = granted_at};
    }

    std::unique_ptr<shard_owner> owner;
};

// An owner that loads a completed job, whose retention ends after a given time.
struct completed_job_fixture : owner_fixture {
    explicit completed_job_fixture(absl::Duration retention_left)
        : record(write_job_record(
              {.phase = job_phase::completed,
               .ended_at = absl::Now() + retention_left - shard_owner::options{}.retention})) {
        channels.are_workers_reachable = true;
        const job_specification specification{
            .steps = {{.per_task = {.cpu_millis = 1000, .memory_mb = 100}, .estimate = absl::Seconds(1)}}};
        store.put(accepted_key, write_accepted_job({.queue = queue_name("q"),
                                                    .accepted_at = absl::Now(),
                                                    .specification = specification}));
        store.put(record_key, record);
        // The owner has no need to store this list, so it only removes keys.
        store.put(job_keys::workers(0), R"({"w":"127.0.0.1:1"})");
    }

    // Makes the owner read its inputs again. Returns after it has done so.
    void forget_history() {
        const int earlier_reads = input_reads;
        REQUIRE(fakes::wait_until([&] {
            store.put("other", "");
            store.compact();
            return input_reads > earlier_reads;
        }));
    }
    // Waits until the keys of the job are removed, and for two more reads of the directory. Returns whether
    // the owner has written in the meantime that the job has not ended.
    bool is_job_started() {
        bool is_started = false;
        const auto wait_for = [&](const auto& condition) {
            return fakes::wait_until([&] {
                const std::string stored = store.value(record_key);
                is_started = is_started || (!stored.empty() && stored != record);
                return is_started || condition();
            });
        };
        CHECK(wait_for([&] { return store.value(accepted_key).empty(); }));
        const int calls = directory.calls;
        CHECK(wait_for([&] { return directory.calls > calls + 2; }));
        return is_started;
    }

    const job_id job{"5c0e7a21d94b36f8"};
    const std::string accepted_key = job_keys::accepted(job);
    const std::string record_key = job_keys::record(queue_name("q"), job);
    const std::string record;
    std::atomic<int> input_reads = 0;
};

}  // namespace

// Guards against completed jobs that run again, all of their tasks: the store failed while their keys were
// removed, the owner had forgotten them already, and found the keys when it read its inputs again.
TEST_CASE("a completed job does not run again if its removal fails and the store forgets its history") {
    completed_job_fixture fixture(-absl::Hours(1));
    std::atomic<bool> is_failing = true;
    std::atomic<int> removals = 0;
    fixture.store.set_hook([&](std::string_view method, std::string_view key) {
        fixture.input_reads += method == "read_prefix" && key == job_keys::input_prefix ? 1 : 0;
        // Only the transactions after that which creates the owner key fail.
        const bool is_owned = !fixture.store.value(job_keys::owner(0)).empty();
        if (method == "transact" && key == job_keys::owner(0) && is_owned && is_failing) {
            fixture.store.lose_requests(1);
            ++removals;
        }
    });
    fixture.start();
    // All attempts of one removal have failed.
    REQUIRE(fakes::wait_until([&] { return removals >= 3; }));
    fixture.forget_history();
    is_failing = false;
    CHECK_FALSE(fixture.is_job_started());
}

// Guards against the same fault where the keys are removed while the inputs are read.
TEST_CASE("a completed job does not run again if it expires while the inputs are read") {
    completed_job_fixture fixture(absl::Seconds(1));
    fixture.store.set_response_hook([&](std::string_view, std::string_view key) {
        // The second read is that after the history was discarded. It takes longer than the job is kept.
        if (key == job_keys::input_prefix && ++fixture.input_reads == 2) {
            fakes::wait_until([&] { return fixture.store.value(fixture.accepted_key).empty(); },
                              absl::Seconds(3));
        }
    });
    fixture.start();
    fixture.forget_history();
    CHECK_FALSE(fixture.is_job_started());
}

// Guards against a job that runs from its beginning because the record that says how far it has come could
// not be read: the next read of the inputs took it for a new job.
TEST_CASE("a job whose record is unreadable does not run, also after the store has forgotten its history") {
    completed_job_fixture fixture(absl::Hours(1));
    const std::string unreadable = "{";
    fixture.store.put(fixture.record_key, unreadable);
    fixture.store.set_hook([&](std::string_view method, std::string_view key) {
        fixture.input_reads += method == "read_prefix" && key == job_keys::input_prefix ? 1 : 0;
    });
    fixture.start();
    fixture.forget_history();
    const int calls = fixture.directory.calls;
    CHECK(fakes::wait_until([&] { return fixture.directory.calls > calls + 2; }));
    CHECK(fixture.store.value(fixture.record_key) == unreadable);
}

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
