#include "jobs/worker_session.h"

#include <atomic>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "fakes/wait_until.h"

namespace masticpass {

namespace {

// A worker channel whose responses are set by the test.
class fake_channel final : public worker_channel {
public:
    struct script {
        std::atomic<bool> is_responding = true;
        std::atomic<int> polls = 0;
        std::atomic<int> starts = 0;
        std::atomic<int> starts_before_stop = 0;
        std::atomic<int> lease_extensions_while_unreachable = 0;
        std::atomic<bool> is_superseded = false;
        std::atomic<bool> holds_polls = false;
        std::atomic<std::int64_t> started_ms = 1;
        // The run end that the last poll acknowledged, and the one of the last poll without a response.
        std::atomic<std::int64_t> acknowledged = 0;
        std::atomic<std::int64_t> acknowledged_after_failure = 0;
    };

    fake_channel(script& behaviour, boost::asio::io_context& loop)
        : script_(behaviour), loop_(loop), timer_(loop) {}

    void poll(const poll_request& request, poll_callback done) override {
        ++script_.polls;
        script_.acknowledged = request.last_acknowledged_run_end;
        respond_later(request, done);
    }
    void start(const worker_order&, std::int64_t, fencing_token_value, start_callback done) override {
        ++script_.starts;
        boost::asio::post(loop_, [done, started_ms = script_.started_ms.load()] {
            done({.outcome = start_outcome::accepted, .started_ms = started_ms});
        });
    }
    void stop(const worker_order&, fencing_token_value, order_callback done) override {
        script_.starts_before_stop = script_.starts.load();
        boost::asio::post(loop_, [done] { done({}); });
    }
    void throttle(const worker_order&, fencing_token_value, order_callback done) override {
        boost::asio::post(loop_, [done] { done({}); });
    }

private:
    void respond_later(const poll_request& request, const poll_callback& done) {
        timer_.expires_after(std::chrono::milliseconds(2));
        timer_.async_wait([this, request, done](const boost::system::error_code& error) {
            if (error) {
                return;
            }
            if (script_.holds_polls) {
                respond_later(request, done);
            } else {
                done(make_response(request));
            }
        });
    }
    tl::expected<poll_response, worker_error> make_response(const poll_request& request) {
        if (script_.is_superseded) {
            return tl::unexpected(worker_error::superseded);
        }
        if (!script_.is_responding) {
            // The first poll without a response may extend leases, because the worker was still considered
            // reachable when the poll was sent.
            script_.lease_extensions_while_unreachable += request.lease_until_ms ? 1 : 0;
            script_.acknowledged_after_failure = request.last_acknowledged_run_end;
            return tl::unexpected(worker_error::unreachable);
        }
        return poll_response{.clock_ms = 1000, .report = {.started_ms = script_.started_ms}};
    }

    script& script_;
    boost::asio::io_context& loop_;
    boost::asio::steady_timer timer_;
};

class recording_listener final : public worker_session_listener {
public:
    void on_report(const worker_id&, const worker_report&, absl::Time) override { ++reports; }
    void on_unreachable(const worker_id&, worker_error) override { ++unreachable_reports; }
    void on_lease_expired(const worker_id&) override { ++expired_leases; }
    bool is_wanted(const worker_order& order) override {
        return order.kind == worker_order::order_kind::stop || wants_starts;
    }
    void on_start(const worker_order&, start_outcome outcome, std::int64_t) override {
        not_sent += outcome == start_outcome::not_sent ? 1 : 0;
        accepted += outcome == start_outcome::accepted ? 1 : 0;
    }
    void on_stop(const worker_order&, bool, std::int64_t) override {}
    void on_throttle(const worker_order&, bool, std::int64_t) override {}
    void on_superseded(const worker_id&) override { ++superseded; }
    std::int64_t last_stored_run_end(const worker_id&) override { return 57; }
    absl::Duration delay_after_run_ends() override { return absl::Milliseconds(5); }

    std::atomic<bool> wants_starts = true;
    std::atomic<int> reports = 0;
    std::atomic<int> unreachable_reports = 0;
    std::atomic<int> expired_leases = 0;
    std::atomic<int> not_sent = 0;
    std::atomic<int> accepted = 0;
    std::atomic<int> superseded = 0;
};

struct session_fixture {
    static ownership_limits short_limits() {
        ownership_limits limits;
        limits.run_lease_duration = absl::Milliseconds(100);
        return limits;
    }

    void send(const std::shared_ptr<worker_session>& session) {
        boost::asio::post(loop, [session] { session->send({.worker = worker_id("w")}); });
    }

    ~session_fixture() {
        work.reset();
        loop.stop();
        thread.join();
    }

    std::shared_ptr<worker_session> open() {
        worker_session::options options;
        options.retry_delay = absl::Milliseconds(5);
        opened_session =
            worker_session::open(loop, worker_id("w"), std::make_unique<fake_channel>(script, loop), owner,
                                 listener, time, absl::InfinitePast(), options);
        return opened_session;
    }

    const boot_clock time{};
    boost::asio::io_context loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{loop.get_executor()};
    std::thread thread{[this] { loop.run(); }};
    fake_channel::script script;
    recording_listener listener;
    std::shared_ptr<ownership> owner = std::make_shared<ownership>(7, short_limits(), time.now(), time);
    // Released only after the event loop has ended, since a response may be in progress on its thread.
    std::shared_ptr<worker_session> opened_session;
};

}  // namespace

// Guards against tasks that wait forever for a failed worker: polls without a response extended the leases of
// its runs.
TEST_CASE("the leases of an unresponsive worker expire") {
    session_fixture fixture;
    const auto session = fixture.open();
    REQUIRE(fakes::wait_until([&] { return fixture.listener.reports > 2; }));
    fixture.script.is_responding = false;
    REQUIRE(fakes::wait_until([&] { return fixture.listener.expired_leases == 1; }));
    CHECK(fixture.script.lease_extensions_while_unreachable <= 1);
    fixture.send(session);
    REQUIRE(fakes::wait_until([&] { return fixture.listener.not_sent == 1; }));
    CHECK(fixture.script.starts == 0);
    fixture.script.is_responding = true;
    const int reports = fixture.listener.reports;
    REQUIRE(fakes::wait_until([&] { return fixture.listener.reports > reports; }));
    fixture.send(session);
    REQUIRE(fakes::wait_until([&] { return fixture.listener.accepted == 1; }));
}

// Guards against run ends that are lost: a restarted worker numbers its run ends anew, and the number that
// was stored for the earlier incarnation acknowledged them.
TEST_CASE("after a failed poll no run end is acknowledged until the worker has responded") {
    session_fixture fixture;
    const auto session = fixture.open();
    REQUIRE(fakes::wait_until([&] { return fixture.script.acknowledged == 57; }));
    fixture.script.is_responding = false;
    REQUIRE(fakes::wait_until([&] { return fixture.listener.unreachable_reports > 1; }));
    CHECK(fixture.script.acknowledged_after_failure == 0);
    fixture.script.started_ms = 2;
    fixture.script.is_responding = true;
    REQUIRE(fakes::wait_until([&] { return fixture.script.acknowledged == 57; }));
}

// Guards against a start that is sent with a time of the clock of an incarnation that has ended.
TEST_CASE("a start that shows a restart is the last one until the new clock was read") {
    session_fixture fixture;
    const auto session = fixture.open();
    REQUIRE(fakes::wait_until([&] { return fixture.listener.reports > 0; }));
    fixture.script.holds_polls = true;
    const int reports = fixture.listener.reports;
    fixture.script.started_ms = 2;
    fixture.send(session);
    fixture.send(session);
    REQUIRE(fakes::wait_until([&] { return fixture.listener.not_sent == 1; }));
    CHECK(fixture.script.starts == 1);
    fixture.script.holds_polls = false;
    REQUIRE(fakes::wait_until([&] { return fixture.listener.reports > reports + 1; }));
    fixture.send(session);
    REQUIRE(fakes::wait_until([&] { return fixture.listener.accepted == 2; }));
}

// Load pattern: jobs are cancelled while their starts wait behind orders that the worker leaves unanswered.
// Guards against starts that are sent seconds after the cancellation.
TEST_CASE("a start that is no longer wanted is not sent") {
    session_fixture fixture;
    const auto session = fixture.open();
    REQUIRE(fakes::wait_until([&] { return fixture.listener.reports > 0; }));
    fixture.listener.wants_starts = false;
    fixture.send(session);
    REQUIRE(fakes::wait_until([&] { return fixture.listener.not_sent == 1; }));
    CHECK(fixture.script.starts == 0);
}

// Guards against runs that go on for seconds because the orders that stop them wait behind starts.
TEST_CASE("a stop order overtakes waiting starts") {
    session_fixture fixture;
    const auto session = fixture.open();
    REQUIRE(fakes::wait_until([&] { return fixture.listener.reports > 0; }));
    boost::asio::post(fixture.loop, [session] {
        for (int start = 0; start < 3; ++start) {
            session->send({.worker = worker_id("w")});
        }
        session->send({.kind = worker_order::order_kind::stop, .worker = worker_id("w")});
    });
    REQUIRE(fakes::wait_until([&] { return fixture.listener.accepted == 3; }));
    // The first start was in progress.
    CHECK(fixture.script.starts_before_stop == 1);
}

// Guards against orders of an owner whose term has ended.
TEST_CASE("no order is sent after the term has ended") {
    session_fixture fixture;
    const auto session = fixture.open();
    REQUIRE(fakes::wait_until([&] { return fixture.listener.reports > 0; }));
    fixture.owner->end();
    fixture.send(session);
    REQUIRE(fakes::wait_until([&] { return fixture.listener.not_sent == 1; }));
    CHECK(fixture.script.starts == 0);
}

// Guards against an owner that continues to act after another one has taken over.
TEST_CASE("a worker that has seen a higher fencing token is reported") {
    session_fixture fixture;
    fixture.script.is_superseded = true;
    const auto session = fixture.open();
    CHECK(fakes::wait_until([&] { return fixture.listener.superseded > 0; }));
}

}  // namespace masticpass
