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

    // The worker has responded to a poll that was sent at `sent_at`.
    virtual void on_report(const worker_id& worker, const worker_report& report, absl::Time sent_at) = 0;
    // A poll has failed.
    virtual void on_unreachable(const worker_id& worker, worker_error error) = 0;
    // A poll has failed, and every run lease on the worker has expired. Called once until a poll succeeds.
    virtual void on_lease_expired(const worker_id& worker) = 0;
    // Returns whether the order is still to be sent. Called immediately before, since an order may wait for
    // seconds behind others that the worker leaves unanswered.
    virtual bool is_wanted(const worker_order& order) = 0;
    // In the following methods, `started_ms` is the start of the worker's incarnation that responded; 0 if
    // there was no response or it names none.
    virtual void on_start(const worker_order& order, start_outcome outcome, std::int64_t started_ms) = 0;
    // `is_confirmed` is false if the order was refused or not sent, or if there was no response.
    virtual void on_stop(const worker_order& order, bool is_confirmed, std::int64_t started_ms) = 0;
    virtual void on_throttle(const worker_order& order, bool is_confirmed, std::int64_t started_ms) = 0;
    // The worker has seen a higher fencing token.
    virtual void on_superseded(const worker_id& worker) = 0;
    // Returns the sequence number up to which the run ends of the worker are stored.
    virtual std::int64_t last_stored_run_end(const worker_id& worker) = 0;
    // Returns the delay before the next poll of a worker that has reported run ends. Because of the delay,
    // one poll collects several run ends.
    virtual absl::Duration delay_after_run_ends() = 0;
};

// The shard owner's session with one worker. It polls the worker, extends the leases of its runs, and sends
// orders one at a time. After the owner's lease has ended it sends no order and extends no lease. The
// listener is called on the thread of the event loop. Ownership: shares the `ownership` object; owns the
// channel; borrows the event loop, the listener and the clock. Thread safety: `open` and `request_stop` may
// be called from any thread; all other methods must be called on the thread of the event loop.
class worker_session : public std::enable_shared_from_this<worker_session> {
public:
    struct options {
        // Maximum time for which the worker delays its response to a poll. Each poll extends the run leases,
        // so this time is also the interval at which they are extended while no run ends.
        absl::Duration poll_wait = absl::Milliseconds(1000);
        // Delay before the next poll after a failed one, and between checks after the term has ended.
        absl::Duration retry_delay = absl::Milliseconds(200);
    };

    // Creates a session and starts to poll. `possible_lease_end` is the time until which an earlier owner may
    // have granted run leases on the worker.
    static std::shared_ptr<worker_session> open(boost::asio::io_context& loop, worker_id worker,
                                                std::unique_ptr<worker_channel> channel,
                                                std::shared_ptr<ownership> owner,
                                                worker_session_listener& listener, const clock& time,
                                                absl::Time possible_lease_end, const options& configured);
    worker_session(const worker_session&) = delete;
    worker_session& operator=(const worker_session&) = delete;
    ~worker_session() = default;

    // Sends the order after all earlier orders have completed, or a stop order after all earlier stop orders.
    void send(worker_order order);
    // Stops polling, drops the waiting orders and abandons the calls in progress. The listener may still be
    // called until the event loop has executed the request.
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
    // Reports to the listener, once, that every run lease on the worker has expired.
    void check_lease_expiry();
    // Sends the first waiting order unless an order is in progress.
    void send_next_order();
    void send_order(const worker_order& order);
    void send_start_order(const worker_order& order);
    void finish_order();
    // Returns the time on the worker's clock until which its run leases are extended; nullopt if they are not
    // extended.
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
    // True if the last poll succeeded. Otherwise no start order is sent and no lease is extended.
    bool was_last_poll_successful_ = false;
    bool is_lease_expired_ = false;
};

}  // namespace masticpass

#endif
