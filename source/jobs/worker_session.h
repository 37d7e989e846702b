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

// Receives the events of worker sessions. All methods are called on the thread of the event loop.
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
    virtual void on_stop(const worker_order& order, bool is_confirmed) = 0;
    virtual void on_throttle(const worker_order& order, bool is_confirmed) = 0;
    // The worker has seen a higher fencing token.
    virtual void on_superseded(const worker_id& worker) = 0;
    // Returns the sequence number up to which the run ends of the worker are stored.
    virtual std::int64_t last_stored_run_end(const worker_id& worker) = 0;
    // Delay before the next poll of a worker that has reported run ends, so that one poll collects several.
    virtual absl::Duration delay_after_run_ends() = 0;
};

// The shard owner's session with one worker. It polls the worker, extends the leases of its runs, and sends
// orders one at a time. After the owner's lease has ended it sends no order and extends no lease.
// Responses of the channel and timers arrive on the thread of the event loop, and the listener is called
// there. Ownership: shares the ownership; owns the channel; borrows the rest. Thread safety: all methods on
// the thread of the event loop, except for `request_stop`.
class worker_session : public std::enable_shared_from_this<worker_session> {
public:
    struct options {
        // Maximum time for which the worker delays its response to a poll. Each poll renews the run leases.
        absl::Duration poll_wait = absl::Milliseconds(1000);
        absl::Duration retry_delay = absl::Milliseconds(200);
    };

    // `possible_lease_end`: time until which an earlier owner may have granted run leases on the worker.
    static std::shared_ptr<worker_session> open(boost::asio::io_context& loop, worker_id worker,
                                                std::unique_ptr<worker_channel> channel,
                                                std::shared_ptr<ownership> owner,
                                                worker_session_listener& listener, const clock& time,
                                                absl::Time possible_lease_end, const options& configured);
    worker_session(const worker_session&) = delete;
    worker_session& operator=(const worker_session&) = delete;
    ~worker_session() = default;

    // Sends the order after the earlier ones have been answered. Must be called on the thread of the event
    // loop.
    void send(worker_order order);
    // Abandons the calls in progress. The listener may still receive one more response.
    void request_stop();

private:
    worker_session(boost::asio::io_context& loop, worker_id worker, std::unique_ptr<worker_channel> channel,
                   std::shared_ptr<ownership> owner, worker_session_listener& listener, const clock& time,
                   absl::Time possible_lease_end, const options& configured);

    // The methods below run on the thread of the event loop.
    void poll();
    void handle_poll_response(const tl::expected<poll_response, worker_error>& response, absl::Time sent_at);
    void handle_poll_failure(worker_error error);
    void poll_after(absl::Duration delay);
    void check_lease_expiry();
    void send_next_order();
    void send_order(const worker_order& order);
    void send_start_order(const worker_order& order);
    void finish_order();
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
    std::deque<worker_order> orders_;
    bool is_order_in_progress_ = false;
    // The last poll was answered. No start order is sent otherwise.
    bool was_last_poll_successful_ = false;
    bool is_lease_expired_ = false;
};

}  // namespace masticpass

#endif
