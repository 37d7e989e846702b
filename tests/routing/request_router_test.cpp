#include "routing/request_router.h"

#include <future>
#include <optional>
#include <thread>

#include <absl/synchronization/notification.h>
#include <doctest/doctest.h>

#include "fakes/fake_backend_client.h"
#include "fakes/fake_peer_client.h"
#include "fakes/manual_clock.h"
#include "fakes/wait_until.h"

namespace masticpass {

namespace {

using fakes::fake_backend_client;

// A router with one service, which has one slot on one server.
struct fixture {
    const incarnation_id self{"i1"};
    const service_name service{"s"};
    fakes::manual_clock time;
    fake_backend_client backends;
    fakes::fake_peer_client peers;
    peer_directory known_peers{{entry_id("e1"), region_name("r"), zone_name("z")}, {}};
    server_directory directory;
    slot_quota quota{self};
    metrics_registry metrics;
    request_router router{{self, time, backends, peers, known_peers, directory, quota, metrics}, {}};
    absl::Notification released;

    fixture() {
        directory.update({.index = 1,
                          .vms = {{.vm = vm_id("v1"),
                                   .zone = zone_name("z"),
                                   .rack = {},
                                   .address = "127.0.0.1:1",
                                   .boot = boot_id("b1"),
                                   .pool = pool_name("p")}}});
        quota.apply({.epoch = 1, .members = {{entry_id("e1"), self, 1}}});
        set_service(1);
    }

    void set_service(int slots, int retry_burst = 0, bool accepts_work = true) {
        routed_service routed;
        routed.service = service;
        routed.scheduler.retry_percent = 0;
        routed.scheduler.retry_burst = retry_burst;
        routed.instances = {{vm_id("v1"), slots, accepts_work}};
        router.set_services({routed});
    }

    // Like set_service, but with a new shard, since an existing one keeps its options.
    void replace_service(int slots, int retry_burst) {
        router.set_services({});
        set_service(slots, retry_burst);
    }

    service_request request(const request_id& id = {}) const {
        service_request result;
        result.service = service;
        result.kind = job_kind("k");
        result.deadline = time.now() + absl::Minutes(1);
        result.repeatable = id.empty();
        result.id = id;
        return result;
    }

    request_id issue() { return router.issue_identities(1).value().front(); }

    std::future<request_result> handle_in_background(const service_request& sent) {
        return std::async(std::launch::async, [this, sent] { return router.handle(sent); });
    }

    // Makes every attempt wait for `released`.
    void hold_attempts() {
        backends.set_responder([this](const backend_request&) {
            released.WaitForNotification();
            return fake_backend_client::success();
        });
    }

    void fail_attempts(verdict outcome, refusal_reason reason) {
        backends.set_responder(
            [=](const backend_request&) { return fake_backend_client::failure(outcome, reason); });
    }

    bool becomes_running() {
        return fakes::wait_until([&] { return backends.runs() == 1; });
    }
    bool becomes_queued(int count) {
        return fakes::wait_until([&] { return router.loads().front().load.queued == count; });
    }

    // Adds another entry VM, which reports a free slot.
    void add_peer() {
        heartbeat beat;
        beat.entry = entry_id("e2");
        beat.incarnation = incarnation_id("i2");
        beat.zone = zone_name("z");
        beat.address = "127.0.0.1:2";
        beat.services = {{service, 1, 0, 0}};
        known_peers.update(beat);
    }
};

std::optional<verdict> verdict_of_refusal(const request_result& result) {
    return result ? std::nullopt : std::optional(result.error().outcome);
}

}  // namespace

// Guards against a second run, and against "not run" for a running request, when a caller sends the request
// again.
TEST_CASE_FIXTURE(
    fixture,
    "a request with an identity runs once, even if it is sent again during a stop or after its end") {
    hold_attempts();
    const request_id id = issue();
    auto first = handle_in_background(request(id));
    REQUIRE(becomes_running());
    for (const bool is_stopping : {false, true}) {
        if (is_stopping) {
            router.begin_stop();
        }
        const auto again = router.handle(request(id));
        CHECK(verdict_of_refusal(again) == verdict::may_have_run);
        CHECK(again.error().reason == refusal_reason::identity_in_use);
    }
    released.Notify();
    REQUIRE(first.get().has_value());
    const auto repeated = router.handle(request(id));
    REQUIRE(repeated.has_value());
    CHECK(repeated->body == "done");
    CHECK(backends.runs() == 1);
}

// Guards against an identity that cannot be used any more after an attempt that did not run.
TEST_CASE_FIXTURE(fixture, "an identity whose attempt did not run can be used again") {
    fail_attempts(verdict::not_run, refusal_reason::server_refused);
    const request_id id = issue();
    CHECK(verdict_of_refusal(router.handle(request(id))) == verdict::not_run);
    backends.set_responder({});
    CHECK(router.handle(request(id)).has_value());
    CHECK(router.handle(request(id)).has_value());
    CHECK(backends.runs() == 2);
}

// Guards against a second run after the response of the backend server was lost.
TEST_CASE_FIXTURE(fixture, "a request with an identity is not run again if its attempt may have run") {
    replace_service(1, 10);
    fail_attempts(verdict::may_have_run, refusal_reason::connection_lost);
    const request_id id = issue();
    CHECK(verdict_of_refusal(router.handle(request(id))) == verdict::may_have_run);
    backends.set_responder({});
    CHECK(verdict_of_refusal(router.handle(request(id))) == verdict::may_have_run);
    CHECK(backends.runs() == 1);
}

// Guards against running a request whose identity was never issued, and against running a request without an
// identity twice.
TEST_CASE_FIXTURE(fixture, "a request that must not be repeated needs an identity that was issued") {
    service_request without_identity = request();
    without_identity.repeatable = false;
    CHECK(router.handle(without_identity).error().reason == refusal_reason::identity_required);
    for (const char* id : {"i1.1", "i1", "i1.x"}) {
        const auto result = router.handle(request(request_id(id)));
        CHECK(verdict_of_refusal(result) == verdict::not_run);
        CHECK(result.error().reason == refusal_reason::identity_unknown);
    }
    CHECK(backends.runs() == 0);
}

// Guards against "not run" from an entry VM that cannot know it: the issuer may have run the request when it
// was sent before.
TEST_CASE_FIXTURE(fixture, "an entry VM that did not issue the identity does not claim that it did not run") {
    const request_id id("i2.1");
    CHECK(verdict_of_refusal(router.handle(request(id))) == verdict::may_have_run);
    add_peer();
    CHECK(verdict_of_refusal(router.handle(request(id))) == verdict::may_have_run);
    service_request forwarded = request(id);
    forwarded.forwarded = true;
    const int before = peers.forwards;
    CHECK(verdict_of_refusal(router.handle(forwarded)) == verdict::may_have_run);
    CHECK(peers.forwards == before);
    // The HTTP server of the issuer refuses these before the identity is checked.
    for (const auto reason : {refusal_reason::deadline_passed, refusal_reason::request_too_large,
                              refusal_reason::invalid_request}) {
        peers.on_forward = [=](const service_request&) -> request_result {
            return tl::unexpected(refusal{verdict::not_run, reason, ""});
        };
        CHECK(verdict_of_refusal(router.handle(request(id))) == verdict::may_have_run);
    }
    peers.on_forward = [](const service_request&) -> request_result {
        return tl::unexpected(refusal{verdict::not_run, refusal_reason::queue_full_items, ""});
    };
    CHECK(verdict_of_refusal(router.handle(request(id))) == verdict::not_run);
    CHECK(backends.runs() == 0);
}

// Guards against "not run" for a request that the other entry VM may have run.
TEST_CASE_FIXTURE(fixture,
                  "a request whose forward was lost may have run, even if this entry VM does not run it") {
    set_service(0);
    add_peer();
    peers.on_forward = [this](const service_request&) -> request_result {
        time.advance(absl::Minutes(2));
        return tl::unexpected(refusal{verdict::may_have_run, refusal_reason::peer_unreachable, ""});
    };
    CHECK(verdict_of_refusal(router.handle(request())) == verdict::may_have_run);
    CHECK(peers.forwards == 1);
    CHECK(backends.runs() == 0);
}

// Guards against retries beyond the budget, which multiply the load on the remaining servers.
TEST_CASE_FIXTURE(fixture, "a repeatable request is retried within the budget only") {
    replace_service(1, 2);
    fail_attempts(verdict::may_have_run, refusal_reason::connection_lost);
    CHECK(verdict_of_refusal(router.handle(request())) == verdict::may_have_run);
    CHECK(backends.runs() == 3);
    CHECK(verdict_of_refusal(router.handle(request())) == verdict::may_have_run);
    CHECK(backends.runs() == 4);
}

// Guards against a cancelled request that keeps its place in the queue or runs later.
TEST_CASE_FIXTURE(fixture, "cancelling a queued request frees its place") {
    hold_attempts();
    auto running = handle_in_background(request());
    REQUIRE(becomes_running());
    service_request second = request();
    second.id = request_id("c1");
    auto queued = handle_in_background(second);
    REQUIRE(becomes_queued(1));
    CHECK(router.cancel(second.id, true) == verdict::not_run);
    CHECK(router.loads().front().load.queued == 0);
    const auto cancelled = queued.get();
    CHECK(verdict_of_refusal(cancelled) == verdict::not_run);
    CHECK(cancelled.error().reason == refusal_reason::cancelled);
    released.Notify();
    CHECK(running.get().has_value());
    CHECK(backends.runs() == 1);
}

// Guards against a planned stop that aborts a running request or leaves a queued one without a response.
TEST_CASE_FIXTURE(fixture, "a stop refuses queued requests as not run and lets running requests finish") {
    hold_attempts();
    auto running = handle_in_background(request());
    REQUIRE(becomes_running());
    auto queued = handle_in_background(request(issue()));
    REQUIRE(becomes_queued(1));
    router.begin_stop();
    const auto refused = queued.get();
    CHECK(verdict_of_refusal(refused) == verdict::not_run);
    CHECK(refused.error().reason == refusal_reason::stopping);
    CHECK(router.handle(request()).error().reason == refusal_reason::stopping);
    CHECK(router.open_requests() == 1);
    released.Notify();
    CHECK(running.get().has_value());
    CHECK(fakes::wait_until([&] { return router.open_requests() == 0; }));
}

// Guards against a request that waits forever because ticks do not reach a service that was removed.
TEST_CASE_FIXTURE(fixture, "a request that is queued again after the removal of its service is refused") {
    replace_service(1, 10);
    backends.set_responder([this](const backend_request&) {
        set_service(1, 10, false);
        router.set_services({});
        return fake_backend_client::failure(verdict::may_have_run, refusal_reason::connection_lost);
    });
    auto pending = handle_in_background(request());
    const bool has_ended = fakes::wait_until([&] {
        router.tick();
        return pending.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    });
    REQUIRE(has_ended);
    CHECK(verdict_of_refusal(pending.get()) == verdict::may_have_run);
    CHECK(backends.runs() == 1);
}

// Guards against a slot that is used again while its request may still run, and against one that stays in use
// although the server has finished the request or has not received it.
TEST_CASE_FIXTURE(fixture,
                  "only an attempt that may still run keeps its slot, until the server no longer knows it") {
    struct failure_case {
        verdict outcome;
        refusal_reason reason;
        int kept_slots;
    };
    const vm_id vm("v1");
    for (const failure_case& failing :
         {failure_case{verdict::may_have_run, refusal_reason::answer_timeout, 1},
          failure_case{verdict::may_have_run, refusal_reason::connection_lost, 1},
          failure_case{verdict::may_have_run, refusal_reason::connection_silent, 0},
          failure_case{verdict::may_have_run, refusal_reason::answer_mismatched, 0},
          failure_case{verdict::not_run, refusal_reason::server_refused, 0}}) {
        CAPTURE(to_string(failing.reason));
        fail_attempts(failing.outcome, failing.reason);
        CHECK(verdict_of_refusal(router.handle(request(issue()))) == failing.outcome);
        CHECK(quota.usable_slots(vm) == slots_per_instance - failing.kept_slots);
        CHECK(quota.in_flight() == 0);
        backends.set_state(attempt_state::unknown);
        time.advance(absl::Seconds(5));
        router.supervise();
        CHECK(quota.usable_slots(vm) == slots_per_instance);
    }
}

// Guards against the verdict "not run" for an identity whose run has begun, or that this entry VM never
// issued.
TEST_CASE_FIXTURE(fixture,
                  "an identity is unused only if this entry VM issued it and its run has not begun") {
    const request_id id = issue();
    CHECK(router.is_unused(id));
    CHECK_FALSE(router.is_unused(request_id("i1.999999999")));
    CHECK_FALSE(router.is_unused(request_id("i2.1")));
    CHECK_FALSE(router.is_unused(request_id("no-identity")));
    REQUIRE(router.handle(request(id)).has_value());
    CHECK_FALSE(router.is_unused(id));
}

}  // namespace masticpass
