#include "jobs/worker_session.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

namespace masticpass {

std::shared_ptr<worker_session> worker_session::open(boost::asio::io_context& loop, worker_id worker,
                                                     std::unique_ptr<worker_channel> channel,
                                                     std::shared_ptr<ownership> owner,
                                                     worker_session_listener& listener, const clock& time,
                                                     absl::Time possible_lease_end,
                                                     const options& configured) {
    std::shared_ptr<worker_session> opened(new worker_session(loop, std::move(worker), std::move(channel),
                                                              std::move(owner), listener, time,
                                                              possible_lease_end, configured));
    boost::asio::post(loop, [opened] { opened->poll(); });
    return opened;
}

worker_session::worker_session(boost::asio::io_context& loop, worker_id worker,
                               std::unique_ptr<worker_channel> channel, std::shared_ptr<ownership> owner,
                               worker_session_listener& listener, const clock& time,
                               absl::Time possible_lease_end, const options& configured)
    : loop_(loop),
      worker_(std::move(worker)),
      channel_(std::move(channel)),
      owner_(std::move(owner)),
      listener_(listener),
      clock_(time),
      options_(configured),
      timer_(loop),
      worker_clock_(owner_->limits()) {
    worker_clock_.assume_lease_until(possible_lease_end);
}

void worker_session::request_stop() {
    boost::asio::post(loop_, [self = shared_from_this()] {
        self->channel_.reset();
        self->timer_.cancel();
        self->orders_.clear();
    });
}

void worker_session::send(worker_order order) {
    auto position = orders_.end();
    if (order.kind == worker_order::order_kind::stop) {
        position = std::find_if(
            orders_.begin() + (is_order_in_progress_ ? 1 : 0), orders_.end(),
            [](const worker_order& waiting) { return waiting.kind != worker_order::order_kind::stop; });
    }
    orders_.insert(position, std::move(order));
    send_next_order();
}

std::optional<std::int64_t> worker_session::extend_run_leases(absl::Time now) {
    // The run leases on a worker that does not respond are not extended, so that its tasks can start on other
    // workers once the leases have expired.
    if (!worker_clock_.has_reading() || !was_last_poll_successful_) {
        return std::nullopt;
    }
    return worker_clock_.extend_lease(owner_->run_lease_end(now));
}

void worker_session::poll_after(absl::Duration delay) {
    timer_.expires_after(absl::ToChronoNanoseconds(delay));
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error) {
            self->poll();
        }
    });
}

void worker_session::poll() {
    if (!channel_) {
        return;
    }
    if (!owner_->is_valid()) {
        poll_after(options_.retry_delay);
        return;
    }
    const absl::Time sent_at = clock_.now();
    poll_request request{.fencing_token = owner_->fencing_token(),
                         .lease_until_ms = extend_run_leases(sent_at)};
    // After a failed poll the worker may have restarted and numbers its run ends anew.
    if (was_last_poll_successful_) {
        request.last_acknowledged_run_end = listener_.last_stored_run_end(worker_);
    }
    // A poll that extends no lease, such as the first one, presents the fencing token and requests the
    // current runs. Its response must not be delayed.
    request.wait = request.lease_until_ms ? options_.poll_wait : absl::ZeroDuration();
    channel_->poll(request, [this, sent_at](const tl::expected<poll_response, worker_error>& response) {
        // Keeps the session alive, because the listener may release the last other reference to it.
        const auto self = shared_from_this();
        handle_poll_response(response, sent_at);
    });
}

void worker_session::handle_poll_response(const tl::expected<poll_response, worker_error>& response,
                                          absl::Time sent_at) {
    if (!response) {
        handle_poll_failure(response.error());
        poll_after(options_.retry_delay);
        return;
    }
    worker_clock_.observe(response->report.started_ms, response->clock_ms, clock_.now());
    was_last_poll_successful_ = true;
    is_lease_expired_ = false;
    listener_.on_report(worker_, response->report, sent_at);
    if (response->report.ended.empty()) {
        poll();
    } else {
        poll_after(listener_.delay_after_run_ends());
    }
}

void worker_session::handle_poll_failure(worker_error error) {
    if (error == worker_error::superseded) {
        listener_.on_superseded(worker_);
    }
    was_last_poll_successful_ = false;
    listener_.on_unreachable(worker_, error);
    check_lease_expiry();
}

void worker_session::check_lease_expiry() {
    if (is_lease_expired_ || clock_.now() <= worker_clock_.lease_end()) {
        return;
    }
    is_lease_expired_ = true;
    listener_.on_lease_expired(worker_);
}

void worker_session::send_next_order() {
    if (!channel_ || is_order_in_progress_ || orders_.empty()) {
        return;
    }
    is_order_in_progress_ = true;
    send_order(orders_.front());
}

void worker_session::finish_order() {
    is_order_in_progress_ = false;
    if (!orders_.empty()) {
        orders_.pop_front();
    }
    send_next_order();
}

void worker_session::send_order(const worker_order& order) {
    if (order.kind == worker_order::order_kind::start) {
        send_start_order(order);
        return;
    }
    const bool is_stop = order.kind == worker_order::order_kind::stop;
    const auto done = [this, order, is_stop](const order_response& response) {
        const auto self = shared_from_this();
        worker_clock_.note_incarnation(response.started_ms, clock_.now());
        if (!response.result && response.result.error() == worker_error::superseded) {
            listener_.on_superseded(worker_);
        }
        if (is_stop) {
            listener_.on_stop(order, response.result.has_value(), response.started_ms);
        } else {
            listener_.on_throttle(order, response.result.has_value(), response.started_ms);
        }
        finish_order();
    };
    if (!owner_->is_valid() || !listener_.is_wanted(order)) {
        done({.result = tl::unexpected(worker_error::unreachable)});
    } else if (is_stop) {
        channel_->stop(order, owner_->fencing_token(), done);
    } else {
        channel_->throttle(order, owner_->fencing_token(), done);
    }
}

void worker_session::send_start_order(const worker_order& order) {
    const std::optional<std::int64_t> lease_until_ms =
        owner_->is_valid() ? extend_run_leases(clock_.now()) : std::nullopt;
    if (!lease_until_ms || !listener_.is_wanted(order) || !owner_->is_valid()) {
        listener_.on_start(order, start_outcome::not_sent, 0);
        finish_order();
        return;
    }
    channel_->start(order, *lease_until_ms, owner_->fencing_token(),
                    [this, order](const start_response& response) {
                        const auto self = shared_from_this();
                        worker_clock_.note_incarnation(response.started_ms, clock_.now());
                        if (response.is_superseded) {
                            listener_.on_superseded(worker_);
                        }
                        listener_.on_start(order, response.outcome, response.started_ms);
                        finish_order();
                    });
}

}  // namespace masticpass
