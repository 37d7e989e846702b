#include "jobs/worker_link.h"

#include <atomic>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "fakes/wait_until.h"

namespace masticpass {

namespace {

// A worker whose answers a test chooses.
class fake_channel final : public worker_channel {
public:
    struct script {
        std::atomic<bool> answers = true;
        std::atomic<int> looks = 0;
        std::atomic<int> starts = 0;
        std::atomic<int> holds_while_silent = 0;
        std::atomic<bool> is_superseded = false;
    };

    fake_channel(script& behaviour, boost::asio::io_context& loop)
        : script_(behaviour), loop_(loop), timer_(loop) {}

    void look(const look_request& request, look_callback done) override {
        ++script_.looks;
        timer_.expires_after(std::chrono::milliseconds(2));
        timer_.async_wait([answer = answer_to(request), done](const boost::system::error_code& error) {
            if (!error) {
                done(answer);
            }
        });
    }
    void start(const worker_order&, std::int64_t, fence_token, start_callback done) override {
        ++script_.starts;
        boost::asio::post(loop_, [done] { done({.outcome = start_outcome::accepted}); });
    }
    void stop(const worker_order&, fence_token, order_callback done) override {
        boost::asio::post(loop_, [done] { done({}); });
    }
    void pace(const worker_order&, fence_token, order_callback done) override {
        boost::asio::post(loop_, [done] { done({}); });
    }

private:
    tl::expected<look_answer, worker_error> answer_to(const look_request& request) {
        if (script_.is_superseded) {
            return tl::unexpected(worker_error::superseded);
        }
        if (!script_.answers) {
            // The first silent look was sent while the worker was believed to answer.
            script_.holds_while_silent += request.hold_until_ms ? 1 : 0;
            return tl::unexpected(worker_error::unreachable);
        }
        return look_answer{.clock_ms = 1000, .report = {.born_ms = 1}};
    }

    script& script_;
    boost::asio::io_context& loop_;
    boost::asio::steady_timer timer_;
};

class recording_listener final : public worker_link_listener {
public:
    void on_report(const worker_id&, const worker_report&, absl::Time) override { ++reports; }
    void on_unreachable(const worker_id&, worker_error) override { ++silences; }
    void on_lapsed(const worker_id&) override { ++lapses; }
    void on_start(const worker_order&, start_outcome outcome) override {
        not_sent += outcome == start_outcome::not_sent ? 1 : 0;
        accepted += outcome == start_outcome::accepted ? 1 : 0;
    }
    void on_stop(const worker_order&, bool) override {}
    void on_pace(const worker_order&, bool) override {}
    void on_superseded(const worker_id&) override { ++superseded; }
    std::int64_t stored_ends(const worker_id&) override { return 0; }
    absl::Duration pause_after_ends() override { return absl::Milliseconds(5); }

    std::atomic<int> reports = 0;
    std::atomic<int> silences = 0;
    std::atomic<int> lapses = 0;
    std::atomic<int> not_sent = 0;
    std::atomic<int> accepted = 0;
    std::atomic<int> superseded = 0;
};

struct link_fixture {
    static ownership_limits quick_limits() {
        ownership_limits limits;
        limits.run_lease_duration = absl::Milliseconds(100);
        return limits;
    }

    void send(const std::shared_ptr<worker_link>& link) {
        boost::asio::post(loop, [link] { link->send({.worker = worker_id("w")}); });
    }

    ~link_fixture() {
        work.reset();
        loop.stop();
        thread.join();
    }

    std::shared_ptr<worker_link> open() {
        worker_link::options options;
        options.pause_after_failure = absl::Milliseconds(5);
        return worker_link::open(loop, worker_id("w"), std::make_unique<fake_channel>(script, loop), owner,
                                 listener, time, absl::InfinitePast(), options);
    }

    const boot_clock time{};
    boost::asio::io_context loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{loop.get_executor()};
    std::thread thread{[this] { loop.run(); }};
    fake_channel::script script;
    recording_listener listener;
    std::shared_ptr<ownership> owner = std::make_shared<ownership>(7, quick_limits(), time.now(), time);
};

}  // namespace

// Guards against tasks that wait for ever for a dead worker: looks that were not answered used to extend its
// hold.
TEST_CASE("a silent worker lapses") {
    link_fixture fixture;
    const auto link = fixture.open();
    REQUIRE(fakes::wait_until([&] { return fixture.listener.reports > 2; }));
    fixture.script.answers = false;
    REQUIRE(fakes::wait_until([&] { return fixture.listener.lapses == 1; }));
    CHECK(fixture.script.holds_while_silent <= 1);
    fixture.send(link);
    REQUIRE(fakes::wait_until([&] { return fixture.listener.not_sent == 1; }));
    CHECK(fixture.script.starts == 0);
    fixture.script.answers = true;
    const int reports = fixture.listener.reports;
    REQUIRE(fakes::wait_until([&] { return fixture.listener.reports > reports; }));
    fixture.send(link);
    REQUIRE(fakes::wait_until([&] { return fixture.listener.accepted == 1; }));
}

// Guards against orders of an owner whose term is over.
TEST_CASE("nothing is sent after the term has ended") {
    link_fixture fixture;
    const auto link = fixture.open();
    REQUIRE(fakes::wait_until([&] { return fixture.listener.reports > 0; }));
    fixture.owner->end();
    fixture.send(link);
    REQUIRE(fakes::wait_until([&] { return fixture.listener.not_sent == 1; }));
    CHECK(fixture.script.starts == 0);
}

// Guards against an owner that goes on beside its successor.
TEST_CASE("a worker that has seen a higher fence is reported") {
    link_fixture fixture;
    fixture.script.is_superseded = true;
    const auto link = fixture.open();
    CHECK(fakes::wait_until([&] { return fixture.listener.superseded > 0; }));
}

}  // namespace masticpass
