#include "jobs/job_intake.h"

#include <atomic>
#include <stdexcept>
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
    absl::Time deadline() const { return time.now() + absl::Seconds(5); }

    fakes::fake_configuration_store store;
    const boot_clock time{};
    metrics_registry metrics;
    job_intake intake{store, time, metrics};
};

}  // namespace

// Guards against a job that runs twice because its caller sent it again to this or another entry VM.
TEST_CASE("a job id that is already stored is accepted without changing the job") {
    intake_fixture fixture;
    job_intake other(fixture.store, fixture.time, fixture.metrics);
    CHECK(fixture.intake.submit(job_id("a"), make_job("first"), fixture.deadline()) ==
          submit_result::accepted);
    const std::string stored = fixture.store.value(job_keys::accepted(job_id("a")));
    CHECK(fixture.intake.submit(job_id("a"), make_job("second"), fixture.deadline()) ==
          submit_result::accepted);
    CHECK(other.submit(job_id("a"), make_job("third"), fixture.deadline()) == submit_result::accepted);
    CHECK(fixture.store.value(job_keys::accepted(job_id("a"))) == stored);
}

// Guards against a duplicate id that prevents the other jobs of its transaction from being stored, and
// against a burst that costs one write per job.
TEST_CASE("concurrent submissions share transactions") {
    intake_fixture fixture;
    fixture.store.put(job_keys::accepted(job_id("7")), "stored before");
    fixture.store.set_hook([](std::string_view, std::string_view) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    });
    std::vector<std::thread> callers;
    callers.reserve(20);
    for (int number = 0; number < 20; ++number) {
        callers.emplace_back([&fixture, number] {
            // Two callers submit each id.
            const job_id id(std::to_string(number / 2));
            CHECK(fixture.intake.submit(id, make_job("x"), fixture.deadline()) == submit_result::accepted);
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

// Guards against a caller that is told that its job is refused although the job is stored or may still be
// stored.
TEST_CASE("a transaction whose response was lost is retried") {
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
    CHECK(fixture.intake.submit(job_id("a"), make_job("x"), fixture.deadline()) == submit_result::accepted);
    const std::string stored = fixture.store.value(job_keys::accepted(job_id("a")));
    fixture.store.deliver_delayed();
    CHECK(fixture.store.value(job_keys::accepted(job_id("a"))) == stored);
}

// Guards against reporting a job as refused while its write may still take effect.
TEST_CASE("a job whose write has an unknown outcome at the deadline is neither accepted nor refused") {
    intake_fixture fixture;
    fixture.store.delay_requests(1000000);
    CHECK(fixture.intake.submit(job_id("a"), make_job("x"), fixture.time.now() + absl::Milliseconds(30)) ==
          submit_result::unknown);
}

// Guards against a caller that is told that its job is not stored after an earlier response was lost.
TEST_CASE("a job is not refused after an earlier call with an unknown outcome") {
    intake_fixture fixture;
    job_service service(fixture.store, fixture.time, fixture.metrics);
    fixture.store.delay_requests(100);
    const absl::Time soon = fixture.time.now() + absl::Milliseconds(100);
    CHECK(service.submit(job_id("a"), make_job("x"), soon) == submit_result::unknown);
    CHECK(fixture.intake.submit(job_id("a"), make_job("x"), soon) == submit_result::unknown);
    fixture.store.delay_requests(0);
    fixture.store.set_down(true);
    // The service does not call the store again so soon after a failure; the intake does.
    CHECK(service.submit(job_id("a"), make_job("x"), fixture.deadline()) == submit_result::unknown);
    CHECK(service.submit(job_id("b"), make_job("x"), fixture.deadline()) == submit_result::refused);
    CHECK(fixture.intake.submit(job_id("a"), make_job("x"), fixture.deadline()) == submit_result::unknown);
    CHECK(fixture.intake.submit(job_id("b"), make_job("x"), fixture.deadline()) == submit_result::refused);
    fixture.store.set_down(false);
    fixture.store.deliver_delayed();
    CHECK(fixture.intake.submit(job_id("a"), make_job("x"), fixture.deadline()) == submit_result::accepted);
    CHECK_FALSE(fixture.intake.may_be_stored(job_id("a")));
}

// Guards against callers that wait forever because the caller that stored the batch met an exception.
TEST_CASE("an exception while a batch is stored leaves the intake usable") {
    intake_fixture fixture;
    std::atomic<bool> must_throw = true;
    fixture.store.set_hook([&](std::string_view, std::string_view) {
        if (must_throw.exchange(false)) {
            throw std::runtime_error("injected");
        }
    });
    CHECK(fixture.intake.submit(job_id("a"), make_job("x"), fixture.deadline()) == submit_result::accepted);
    CHECK(fixture.intake.submit(job_id("b"), make_job("x"), fixture.deadline()) == submit_result::accepted);
}

// Guards against callers that wait for the store although an earlier call has found it unavailable.
TEST_CASE("jobs are refused immediately while the store is unavailable") {
    intake_fixture fixture;
    job_service service(fixture.store, fixture.time, fixture.metrics);
    fixture.store.set_down(true);
    CHECK(service.submit(job_id("a"), make_job("x"), fixture.deadline()) == submit_result::refused);
    const int calls = fixture.store.calls("transact");
    CHECK(service.submit(job_id("b"), make_job("x"), fixture.deadline()) == submit_result::refused);
    CHECK(fixture.store.calls("transact") == calls);
    CHECK(fixture.store.value(job_keys::accepted(job_id("a"))).empty());
}

TEST_CASE("job states, cancel requests and pending counts are served from the store") {
    intake_fixture fixture;
    job_service service(fixture.store, fixture.time, fixture.metrics);
    const queue_name queue("q");
    CHECK(service.find_status(queue, job_id("a")).result == job_service::lookup_result::unknown_job);
    CHECK(service.cancel(queue, job_id("a")) == job_service::lookup_result::unknown_job);
    CHECK(service.submit(job_id("a"), make_job("x"), fixture.deadline()) == submit_result::accepted);
    accepted_job timed = make_job("x");
    timed.specification.occurrences = 3;
    CHECK(service.submit(job_id("b"), timed, fixture.deadline()) == submit_result::accepted);
    CHECK(service.find_status(queue, job_id("a")).phase == job_phase::queued);
    CHECK(service.count_pending(queue) == 1);
    CHECK(service.cancel(queue, job_id("a")) == job_service::lookup_result::found);
    CHECK(service.cancel(queue, job_id("a")) == job_service::lookup_result::found);
    CHECK_FALSE(fixture.store.value(job_keys::cancel_request(job_id("a"))).empty());
    fixture.store.set_down(true);
    CHECK(service.find_status(queue, job_id("a")).result == job_service::lookup_result::store_unavailable);
    CHECK_FALSE(service.count_pending(queue).has_value());
}

}  // namespace masticpass
