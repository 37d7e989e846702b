#include "routing/attempt_supervisor.h"

#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include "backend/http_backend_client.h"
#include "fakes/fake_backend_client.h"
#include "fakes/manual_clock.h"
#include "fakes/raw_server.h"
#include "routing/slot_quota.h"

namespace masticpass {

namespace {

struct fixture {
    const attempt_id attempt{"a1"};
    fakes::manual_clock time;
    fakes::fake_backend_client backends;
    metrics_registry metrics;
    server_directory directory;
    slot_quota quota{incarnation_id("i1")};
    attempt_supervisor supervisor{backends, directory, quota, time, metrics};
    const vm_id vm{"v1"};

    fixture() {
        quota.apply({.epoch = 1, .members = {{entry_id("e1"), incarnation_id("i1"), 1}}});
        list("b1", vm_state::live);
    }

    void list(const std::string& boot, vm_state state) {
        listed_vm listed;
        listed.vm = vm;
        listed.boot = boot_id(boot);
        listed.address = "127.0.0.1:1";
        listed.state = state;
        directory.update({.index = 1, .vms = {listed}});
    }
    void begin(absl::Duration overdue_after) {
        supervisor.begin(attempt, directory.find(vm).value(), overdue_after, absl::Seconds(20));
    }
    // Begins an attempt on an acquired slot and ends it without a response.
    void abandon() {
        REQUIRE(quota.acquire_slot(vm));
        begin(absl::Seconds(1));
        quota.abandon_slot(vm);
        supervisor.abandon(attempt);
    }
    std::uint64_t released(const std::string& cause) const {
        return metrics.counter({"masticpass_abandoned_slots_released_total", "cause", cause});
    }
    void step_after(absl::Duration duration) {
        time.advance(duration);
        supervisor.step();
    }
    std::uint64_t responses(const std::string& response) const {
        return metrics.counter({"masticpass_attempt_questions_total", "answer", response});
    }
    std::uint64_t ended(const std::string& reason) const {
        return metrics.counter({"masticpass_attempts_ended_total", "reason", reason});
    }
};

using ended_attempts = std::vector<std::pair<attempt_id, attempt_end>>;

}  // namespace

// Guards against a silent connection that is detected only at the deadline.
TEST_CASE_FIXTURE(fixture, "an overdue attempt that the server does not know is ended") {
    backends.set_state(attempt_state::unknown);
    begin(absl::Seconds(1));
    step_after(absl::Milliseconds(999));
    CHECK(backends.status_requests() == 0);
    step_after(absl::Milliseconds(1));
    CHECK(backends.status_requests() == 1);
    CHECK(backends.ended().empty());
    step_after(absl::Milliseconds(500));
    CHECK(backends.ended() == ended_attempts{{attempt, attempt_end::connection_silent}});
    CHECK(responses("unknown") == 2);
    CHECK(ended("connection-silent") == 1);
    supervisor.finish(attempt);
    step_after(absl::Seconds(30));
    CHECK(backends.status_requests() == 2);
    CHECK(backends.ended().size() == 1);
}

// Guards against querying short attempts because the learned run time is even shorter.
TEST_CASE_FIXTURE(fixture, "an attempt is not queried in its first 500 ms") {
    begin(absl::Milliseconds(1));
    step_after(absl::Milliseconds(499));
    CHECK(backends.status_requests() == 0);
    step_after(absl::Milliseconds(1));
    CHECK(backends.status_requests() == 1);
}

// Guards against ending an attempt that only takes longer than the learned run time.
TEST_CASE_FIXTURE(fixture,
                  "an attempt that the server does not report as unknown continues until its timeout") {
    for (const auto& [state, response] :
         {std::pair{attempt_state::running, "running"}, std::pair{attempt_state::not_stated, "not-stated"},
          std::pair{attempt_state::not_answered, "not-answered"}}) {
        backends.set_state(state);
        begin(absl::Seconds(1));
        for (int second = 0; second < 20; ++second) {
            step_after(absl::Seconds(1));
        }
        CHECK(responses(response) > 0);
        CHECK(backends.ended().empty());
        supervisor.finish(attempt);
    }
}

// Guards against an attempt that exceeds its timeout. The timeouts of the connection do not end it while the
// server sends a byte from time to time.
TEST_CASE_FIXTURE(fixture, "an attempt beyond its timeout is ended") {
    begin(absl::Minutes(1));
    step_after(absl::Seconds(20));
    CHECK(backends.ended().empty());
    step_after(absl::Milliseconds(100));
    CHECK(backends.ended() == ended_attempts{{attempt, attempt_end::timeout}});
    CHECK(ended("answer-timeout") == 1);
    CHECK(backends.status_requests() == 0);
}

// Guards against a second request on a slot whose first request still runs, and against a slot that stays in
// use after its request no longer runs.
TEST_CASE_FIXTURE(
    fixture, "the slot of an abandoned attempt is released when the server no longer reports it as running") {
    for (const auto& [state, cause] :
         {std::pair{attempt_state::unknown, "unknown"}, std::pair{attempt_state::not_stated, "not-stated"}}) {
        backends.set_state(attempt_state::running);
        abandon();
        for (int second = 0; second < 60; ++second) {
            step_after(absl::Seconds(1));
        }
        CHECK(quota.usable_slots(vm) == slots_per_instance - 1);
        CHECK(backends.ended().empty());
        backends.set_state(state);
        step_after(absl::Seconds(5));
        CHECK(quota.usable_slots(vm) == slots_per_instance);
        CHECK(released(cause) == 1);
        const int status_requests = backends.status_requests();
        step_after(absl::Minutes(1));
        CHECK(backends.status_requests() == status_requests);
    }
}

// Guards against a slot that stays in use forever because its VM was rebooted or terminated, and against
// releasing a slot while its VM is only unreachable.
TEST_CASE_FIXTURE(fixture,
                  "the slot of an abandoned attempt is released when its VM is rebooted or terminated") {
    backends.set_state(attempt_state::unknown);
    abandon();
    directory.set_unreachable(vm, true);
    for (int second = 0; second < 60; ++second) {
        step_after(absl::Seconds(1));
    }
    CHECK(backends.status_requests() == 0);
    CHECK(quota.usable_slots(vm) == slots_per_instance - 1);
    list("b2", vm_state::live);
    step_after(absl::Seconds(5));
    CHECK(quota.usable_slots(vm) == slots_per_instance);
    abandon();
    list("b2", vm_state::terminated);
    step_after(absl::Seconds(5));
    CHECK(quota.usable_slots(vm) == slots_per_instance);
    CHECK(released("server-gone") == 2);
    CHECK(backends.status_requests() == 0);
}

// Guards against an attempt that exceeds its timeout because the server sends the response headers byte by
// byte, each byte within the read timeout of the connection.
TEST_CASE("an attempt whose response headers arrive byte by byte ends at its timeout") {
    constexpr absl::Duration timeout = absl::Milliseconds(300);
    constexpr absl::Duration byte_interval = absl::Milliseconds(50);
    std::atomic<bool> is_test_ended = false;
    const fakes::raw_server server([&](fakes::raw_connection& link, const std::string&) {
        link.send("HTTP/1.1 200 OK\r\nX: ");
        for (int byte = 0; byte < 100 && !is_test_ended; ++byte) {
            link.send("x");
            absl::SleepFor(byte_interval);
        }
        link.close();
    });
    const incarnation_id self("i1");
    slot_quota quota(self);
    quota.apply({.epoch = 1, .members = {{entry_id("e1"), self, 1}}});
    quota.set_addresses({{vm_id("v1"), server.address()}});
    const monotonic_clock time;
    metrics_registry metrics;
    http_backend_client client({}, time, quota);
    server_directory directory;
    attempt_supervisor supervisor(client, directory, quota, time, metrics);
    std::atomic<bool> is_stopped = false;
    std::thread stepping([&] {
        while (!is_stopped) {
            supervisor.step();
            absl::SleepFor(absl::Milliseconds(10));
        }
    });

    const std::string address = server.address();
    backend_request request;
    request.address = address;
    request.attempt = attempt_id("a1");
    request.content_type = "text/plain";
    request.timeout = timeout;
    const absl::Time start = time.now();
    server_state supervised_server;
    supervised_server.vm = vm_id("v1");
    supervised_server.address = address;
    supervisor.begin(request.attempt, supervised_server, absl::Minutes(1), timeout);
    const auto result = client.run(request);
    const absl::Duration elapsed = time.now() - start;
    supervisor.finish(request.attempt);
    is_test_ended = true;
    is_stopped = true;
    stepping.join();

    REQUIRE_FALSE(result.has_value());
    CHECK(result.error().cause.outcome == verdict::may_have_run);
    CHECK(result.error().cause.reason == refusal_reason::answer_timeout);
    CHECK(elapsed >= timeout);
    CHECK(elapsed < absl::Seconds(2));
}

}  // namespace masticpass
