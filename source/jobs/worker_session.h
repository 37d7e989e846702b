#ifndef MASTICPASS_JOBS_WORKER_SESSION_H
#define MASTICPASS_JOBS_WORKER_SESSION_H

#include <deque>
#include <memory>
#include <optional>

#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "common/clock.h"
#include "decision/jobs/job_scheduler.h"
#include "decision/jobs/worker_clock.h"
#include "jobs/ownership.h"
#include "jobs/worker_channel.h"

namespace masticpass {

// What a link reports. All methods are called on the loop's thread.
class worker_session_listener {
public:
    worker_session_listener() = default;
    worker_session_listener(const worker_session_listener&) = delete;
    worker_session_listener& operator=(const worker_session_listener&) = delete;
    virtual ~worker_session_listener() = default;

    virtual void on_report(const worker_id& worker, const worker_report& report, absl::Time sent_at) = 0;
    virtual void on_unreachable(const worker_id& worker, worker_error error) = 0;
    virtual void on_lease_expired(const worker_id& worker) = 0;
    virtual void on_start(const worker_order& order, start_outcome outcome) = 0;
    virtual void on_stop(const worker_order& order, bool is_answered) = 0;
    virtual void on_throttle(const worker_order& order, bool is_answered) = 0;
    // A worker has seen a higher fence.
    virtual void on_superseded(const worker_id& worker) = 0;
    // The ends of the worker that are stored.
    virtual std::int64_t stored_run_ends(const worker_id& worker) = 0;
    // Ends of a busy worker are collected for this long.
    virtual absl::Duration delay_after_run_ends() = 0;
};

// The owner's side of one worker: it looks, and holds the leases of what runs there, and sends orders one
// after the other. No order is sent, and nothing is held, after the owner's lease has ended. The channel's
// answers and the pauses arrive on the loop's thread, and so does everything that the listener hears.
// Ownership: shares the ownership; owns the channel; borrows the rest. Thread safety: all methods on the
// loop's thread, but for `request_stop`.
class worker_session : public std::enable_shared_from_this<worker_session> {
public:
    struct options {
        // The worker answers a look after this time at the latest. Leases are renewed with each look.
        absl::Duration poll_wait = absl::Milliseconds(1000);
        absl::Duration retry_delay = absl::Milliseconds(200);
    };

    // `possibly_held_until`: an earlier owner may hold runs there until then.
    static std::shared_ptr<worker_session> open(boost::asio::io_context& loop, worker_id worker,
                                                std::unique_ptr<worker_channel> channel,
                                                std::shared_ptr<ownership> owner,
                                                worker_session_listener& listener, const clock& time,
                                                absl::Time possibly_held_until, const options& configured);
    worker_session(const worker_session&) = delete;
    worker_session& operator=(const worker_session&) = delete;
    ~worker_session() = default;

    // Sends the order when those before it are answered. Call on the loop's thread.
    void send(worker_order order);
    // Gives up the calls in progress. The listener may hear of one more answer.
    void request_stop();

private:
    worker_session(boost::asio::io_context& loop, worker_id worker, std::unique_ptr<worker_channel> channel,
                   std::shared_ptr<ownership> owner, worker_session_listener& listener, const clock& time,
                   absl::Time possibly_held_until, const options& configured);

    // The rest runs on the loop's thread.
    void poll();
    void handle_poll_answer(const tl::expected<poll_answer, worker_error>& answer, absl::Time sent_at);
    void handle_poll_failure(worker_error error);
    void poll_after(absl::Duration pause);
    void check_lease_expiry();
    void send_next_command();
    void send_command(const worker_order& order);
    void send_start_command(const worker_order& order);
    void finish_command();
    std::optional<std::int64_t> extend_run_leases(absl::Time now);

    boost::asio::io_context& loop_;
    const worker_id worker_;
    std::unique_ptr<worker_channel> channel_;
    const std::shared_ptr<ownership> owner_;
    worker_session_listener& listener_;
    const clock& clock_;
    const options options_;
    boost::asio::steady_timer timer_;
    worker_clock worker_clock_;
    std::deque<worker_order> commands_;
    bool is_command_in_progress_ = false;
    // The last look was answered. No start is sent otherwise.
    bool was_last_poll_answered_ = false;
    bool is_lease_expired_ = false;
};

}  // namespace masticpass

#endif
