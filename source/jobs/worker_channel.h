#ifndef MASTICPASS_JOBS_WORKER_CHANNEL_H
#define MASTICPASS_JOBS_WORKER_CHANNEL_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "decision/jobs/job_scheduler.h"
#include "decision/jobs/job_types.h"

namespace masticpass {

// A request to a worker for its runs.
struct poll_request {
    fencing_token_value fencing_token = 0;
    // Run ends up to this sequence number are stored, so the worker may discard them.
    std::int64_t last_acknowledged_run_end = 0;
    // Time on the worker's clock until which the leases of its runs are extended; nullopt to extend none.
    std::optional<std::int64_t> lease_until_ms = {};
    // The worker responds when a run ends, or at the latest after this time.
    absl::Duration wait = {};
};

struct poll_response {
    // Reading of the worker's clock.
    std::int64_t clock_ms = 0;
    worker_report report = {};
};

// Why a worker did not execute a poll or an order.
enum class worker_error {
    unreachable,   // No response.
    other_worker,  // The address now belongs to another worker.
    superseded,    // The worker has seen a higher fencing token.
    refused,       // The worker refused the request for any other reason.
};

struct start_response {
    start_outcome outcome = start_outcome::unknown;
    // The worker has seen a higher fencing token.
    bool is_superseded = false;
    // Start of the worker's incarnation that responded; 0 if there was no response or it names none.
    std::int64_t started_ms = 0;
};

// The result of a stop or throttle order.
struct order_response {
    tl::expected<void, worker_error> result = {};
    // As in start_response.
    std::int64_t started_ms = 0;
};

// The connection to one worker. At most one poll and one order may be in progress at a time. Each callback is
// invoked once, asynchronously on the thread of the event loop, unless the channel is destroyed before.
// Thread safety: all methods must be called on the thread of the event loop.
class worker_channel {
public:
    using poll_callback = std::function<void(tl::expected<poll_response, worker_error>)>;
    using start_callback = std::function<void(start_response)>;
    using order_callback = std::function<void(const order_response&)>;

    worker_channel() = default;
    worker_channel(const worker_channel&) = delete;
    worker_channel& operator=(const worker_channel&) = delete;
    virtual ~worker_channel() = default;

    virtual void poll(const poll_request& request, poll_callback done) = 0;
    // `lease_until_ms` is the end of the run lease on the worker's clock.
    virtual void start(const worker_order& order, std::int64_t lease_until_ms,
                       fencing_token_value fencing_token, start_callback done) = 0;
    // Requests the end of a run. After a successful response the run ends soon, or never starts if it has not
    // started yet. After an error it may still start.
    virtual void stop(const worker_order& order, fencing_token_value fencing_token, order_callback done) = 0;
    // Limits the speed of the run to `order.speed_percent`.
    virtual void throttle(const worker_order& order, fencing_token_value fencing_token,
                          order_callback done) = 0;
};

// Creates channels to workers. Thread safety: all methods may be called from any thread.
class worker_channel_factory {
public:
    worker_channel_factory() = default;
    worker_channel_factory(const worker_channel_factory&) = delete;
    worker_channel_factory& operator=(const worker_channel_factory&) = delete;
    virtual ~worker_channel_factory() = default;

    // Returns a channel to the worker at `address`, an IP address and port. The channel borrows the event
    // loop, on whose thread it runs.
    virtual std::unique_ptr<worker_channel> open(const worker_id& worker, const std::string& address,
                                                 boost::asio::io_context& loop) = 0;
};

// The directory in which workers register themselves. It may be out of date, and entries may be missing after
// an outage. Thread safety: all methods may be called from any thread.
class worker_directory {
public:
    worker_directory() = default;
    worker_directory(const worker_directory&) = delete;
    worker_directory& operator=(const worker_directory&) = delete;
    virtual ~worker_directory() = default;

    // Lists all usable entries. The error message says why the directory cannot be read.
    virtual tl::expected<std::vector<worker_entry>, std::string> list() = 0;
};

// Rules of the queues and pools in one version of the configuration.
struct job_rules {
    std::int64_t version = 0;
    std::vector<queue_rules> queues = {};
    std::vector<worker_pool_rules> pools = {};
};

// Provides the current job rules. Thread safety: all methods may be called from any thread.
class job_rules_source {
public:
    job_rules_source() = default;
    job_rules_source(const job_rules_source&) = delete;
    job_rules_source& operator=(const job_rules_source&) = delete;
    virtual ~job_rules_source() = default;

    // Returns the newest rules; nullptr until a configuration has been read.
    virtual std::shared_ptr<const job_rules> rules() const = 0;
};

}  // namespace masticpass

#endif
