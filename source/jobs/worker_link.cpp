#include "jobs/worker_link.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace masticpass {

std::shared_ptr<worker_link> worker_link::open(boost::asio::io_context& loop, worker_id worker,
                                               std::unique_ptr<worker_channel> channel,
                                               std::shared_ptr<ownership> owner,
                                               worker_link_listener& listener, const clock& time,
                                               absl::Time possibly_held_until, const options& configured) {
    std::shared_ptr<worker_link> opened(new worker_link(loop, std::move(worker), std::move(channel),
                                                        std::move(owner), listener, time, possibly_held_until,
                                                        configured));
    boost::asio::post(loop, [opened] { opened->look(); });
    return opened;
}

worker_link::worker_link(boost::asio::io_context& loop, worker_id worker,
                         std::unique_ptr<worker_channel> channel, std::shared_ptr<ownership> owner,
                         worker_link_listener& listener, const clock& time, absl::Time possibly_held_until,
                         const options& configured)
    : loop_(loop),
      worker_(std::move(worker)),
      channel_(std::move(channel)),
      owner_(std::move(owner)),
      listener_(listener),
      clock_(time),
      options_(configured),
      timer_(loop),
      worker_clock_(ownership_limits{}.minimum_worker_clock_rate) {
    worker_clock_.assume_lease_until(possibly_held_until);
}

void worker_link::request_stop() {
    boost::asio::post(loop_, [self = shared_from_this()] {
        self->channel_.reset();
        self->timer_.cancel();
        self->orders_.clear();
    });
}

void worker_link::send(worker_order order) {
    orders_.push_back(std::move(order));
    send_next();
}

std::optional<std::int64_t> worker_link::hold(absl::Time now) {
    // A worker that does not answer is held no longer than it is already, so that its tasks can start
    // elsewhere.
    if (!worker_clock_.has_reading() || !is_answering_) {
        return std::nullopt;
    }
    return worker_clock_.extend_lease(owner_->hold_until(now));
}

void worker_link::look_after(absl::Duration pause) {
    timer_.expires_after(absl::ToChronoNanoseconds(pause));
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error) {
            self->look();
        }
    });
}

void worker_link::look() {
    if (!channel_) {
        return;
    }
    if (!owner_->is_valid()) {
        look_after(options_.pause_after_failure);
        return;
    }
    const absl::Time sent_at = clock_.now();
    look_request request{.fence = owner_->fence(),
                         .acknowledged_ends = listener_.stored_ends(worker_),
                         .hold_until_ms = hold(sent_at)};
    // The first look shows the fence and asks what runs, so its answer must not wait.
    request.wait = request.hold_until_ms ? options_.look_wait : absl::ZeroDuration();
    channel_->look(request, [this, sent_at](const tl::expected<look_answer, worker_error>& answer) {
        // The listener may end the link.
        const auto self = shared_from_this();
        take_look(answer, sent_at);
    });
}

void worker_link::take_look(const tl::expected<look_answer, worker_error>& answer, absl::Time sent_at) {
    if (!answer) {
        note_failed_look(answer.error());
        look_after(options_.pause_after_failure);
        return;
    }
    worker_clock_.observe(answer->clock_ms, clock_.now());
    is_answering_ = true;
    is_lapsed_ = false;
    listener_.on_report(worker_, answer->report, sent_at);
    if (answer->report.ended.empty()) {
        look();
    } else {
        look_after(listener_.pause_after_ends());
    }
}

void worker_link::note_failed_look(worker_error error) {
    if (error == worker_error::superseded) {
        listener_.on_superseded(worker_);
    }
    is_answering_ = false;
    listener_.on_unreachable(worker_, error);
    note_silence();
}

void worker_link::note_silence() {
    if (is_lapsed_ || clock_.now() <= worker_clock_.lease_end()) {
        return;
    }
    is_lapsed_ = true;
    listener_.on_lapsed(worker_);
}

void worker_link::send_next() {
    if (!channel_ || is_sending_ || orders_.empty()) {
        return;
    }
    is_sending_ = true;
    carry_out(orders_.front());
}

void worker_link::finish_order() {
    is_sending_ = false;
    if (!orders_.empty()) {
        orders_.pop_front();
    }
    send_next();
}

void worker_link::carry_out(const worker_order& order) {
    if (order.kind == worker_order::order_kind::start) {
        carry_out_start(order);
        return;
    }
    const bool is_stop = order.kind == worker_order::order_kind::stop;
    const auto done = [this, order, is_stop](const tl::expected<void, worker_error>& answer) {
        const auto self = shared_from_this();
        if (!answer && answer.error() == worker_error::superseded) {
            listener_.on_superseded(worker_);
        }
        if (is_stop) {
            listener_.on_stop(order, answer.has_value());
        } else {
            listener_.on_pace(order, answer.has_value());
        }
        finish_order();
    };
    if (!owner_->is_valid()) {
        done(tl::unexpected(worker_error::unreachable));
    } else if (is_stop) {
        channel_->stop(order, owner_->fence(), done);
    } else {
        channel_->pace(order, owner_->fence(), done);
    }
}

void worker_link::carry_out_start(const worker_order& order) {
    const std::optional<std::int64_t> until = owner_->is_valid() ? hold(clock_.now()) : std::nullopt;
    if (!until || !owner_->is_valid()) {
        listener_.on_start(order, start_outcome::not_sent);
        finish_order();
        return;
    }
    channel_->start(order, *until, owner_->fence(), [this, order](const start_answer& answer) {
        const auto self = shared_from_this();
        if (answer.is_superseded) {
            listener_.on_superseded(worker_);
        }
        listener_.on_start(order, answer.outcome);
        finish_order();
    });
}

}  // namespace masticpass
