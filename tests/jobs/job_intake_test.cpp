#include "jobs/job_intake.h"

#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "fakes/fake_configuration_store.h"
#include "jobs/job_keys.h"
#include "jobs/job_service.h"

namespace masticpass {

namespace {

accepted_job make_job(const std::string& payload) {
    return {.queue = queue_name("q"),
            .accepted_at = absl::FromUnixMillis(1),
            .specification = {.payload = payload, .steps = {{.task_count = 1}}}};
}

struct intake_fixture {
    absl::Time soon() const { return time.now() + absl::Seconds(5); }

    fakes::fake_configuration_store store;
    const boot_clock time{};
    metrics_registry metrics;
    job_intake intake{store, time, metrics};
};

}  // namespace

// Guards against a job that runs twice because its caller sent it again, here or at another entry VM.
TEST_CASE("an id that was stored before is accepted and not changed") {
    intake_fixture fixture;
    job_intake other(fixture.store, fixture.time, fixture.metrics);
    CHECK(fixture.intake.submit(job_id("a"), make_job("first"), fixture.soon()) == intake_result::accepted);
    const std::string stored = fixture.store.value(job_keys::accepted(job_id("a")));
    CHECK(fixture.intake.submit(job_id("a"), make_job("second"), fixture.soon()) == intake_result::accepted);
    CHECK(other.submit(job_id("a"), make_job("third"), fixture.soon()) == intake_result::accepted);
    CHECK(fixture.store.value(job_keys::accepted(job_id("a"))) == stored);
}

// Guards against one repeated id that keeps the others of its transaction from being stored, and against a
// burst that costs a write each.
TEST_CASE("calls at the same time share transactions") {
    intake_fixture fixture;
    fixture.store.put(job_keys::accepted(job_id("7")), "stored before");
    fixture.store.set_hook([](std::string_view, std::string_view) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    });
    std::vector<std::thread> callers;
    callers.reserve(20);
    for (int number = 0; number < 20; ++number) {
        callers.emplace_back([&fixture, number] {
            // Two callers for each id.
            const job_id id(std::to_string(number / 2));
            CHECK(fixture.intake.submit(id, make_job("x"), fixture.soon()) == intake_result::accepted);
        });
    }
    for (std::thread& caller : callers) {
        caller.join();
    }
    for (int id = 0; id < 10; ++id) {
        CHECK_FALSE(fixture.store.value(job_keys::accepted(job_id(std::to_string(id)))).empty());
    }
    CHECK(fixture.store.value(job_keys::accepted(job_id("7"))) == "stored before");
    CHECK(fixture.store.calls("transact") <= 12);
}

// Guards against a refusal of a job that is stored, or will be.
TEST_CASE("a lost answer is asked for again") {
    intake_fixture fixture;
    SUBCASE("the write took effect") {
        fixture.store.lose_responses(1);
    }
    SUBCASE("the write did not take effect") {
        fixture.store.lose_requests(1);
    }
    SUBCASE("the write takes effect later") {
        fixture.store.delay_requests(1);
    }
    CHECK(fixture.intake.submit(job_id("a"), make_job("x"), fixture.soon()) == intake_result::accepted);
    const std::string stored = fixture.store.value(job_keys::accepted(job_id("a")));
    fixture.store.deliver_delayed();
    CHECK(fixture.store.value(job_keys::accepted(job_id("a"))) == stored);
}

// Guards against "not run" said of a job whose write may still be carried out.
TEST_CASE("a job whose write is unresolved at the deadline is neither accepted nor refused") {
    intake_fixture fixture;
    fixture.store.delay_requests(1000000);
    CHECK(fixture.intake.submit(job_id("a"), make_job("x"), fixture.time.now() + absl::Milliseconds(30)) ==
          intake_result::unknown);
}

// Guards against callers that wait for a store that is known to be down.
TEST_CASE("while the store is down jobs are refused at once") {
    intake_fixture fixture;
    job_service service(fixture.store, fixture.time, fixture.metrics);
    fixture.store.set_down(true);
    CHECK(service.submit(job_id("a"), make_job("x"), fixture.soon()) == intake_result::refused);
    const int calls = fixture.store.calls("transact");
    CHECK(service.submit(job_id("b"), make_job("x"), fixture.soon()) == intake_result::refused);
    CHECK(fixture.store.calls("transact") == calls);
    CHECK(fixture.store.value(job_keys::accepted(job_id("a"))).empty());
}

TEST_CASE("states, cancels and pending counts come from the store") {
    intake_fixture fixture;
    job_service service(fixture.store, fixture.time, fixture.metrics);
    const queue_name queue("q");
    CHECK(service.find(queue, job_id("a")).result == job_service::lookup::unknown_job);
    CHECK(service.cancel(queue, job_id("a")) == job_service::lookup::unknown_job);
    CHECK(service.submit(job_id("a"), make_job("x"), fixture.soon()) == intake_result::accepted);
    accepted_job timed = make_job("x");
    timed.specification.occurrences = 3;
    CHECK(service.submit(job_id("b"), timed, fixture.soon()) == intake_result::accepted);
    CHECK(service.find(queue, job_id("a")).phase == job_phase::queued);
    CHECK(service.pending(queue) == 1);
    CHECK(service.cancel(queue, job_id("a")) == job_service::lookup::found);
    CHECK(service.cancel(queue, job_id("a")) == job_service::lookup::found);
    CHECK_FALSE(fixture.store.value(job_keys::cancelled(job_id("a"))).empty());
    fixture.store.set_down(true);
    CHECK(service.find(queue, job_id("a")).result == job_service::lookup::store_unavailable);
    CHECK_FALSE(service.pending(queue).has_value());
}

}  // namespace masticpass
