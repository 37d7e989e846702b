#ifndef MASTICPASS_JOBS_WORKER_GATEWAY_H
#define MASTICPASS_JOBS_WORKER_GATEWAY_H

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

struct look_request {
    fencing_token fence = 0;
    // Ends up to this number are stored; the worker forgets them.
    std::int64_t acknowledged_ends = 0;
    // The worker's time until which its runs are held; nullopt holds nothing.
    std::optional<std::int64_t> hold_until_ms = {};
    // The worker answers when a run ends, or after this time.
    absl::Duration wait = {};
};

struct look_answer {
    std::int64_t clock_ms = 0;
    worker_report report = {};
};

enum class worker_error {
    unreachable,   // No answer.
    other_worker,  // The address belongs to another worker now.
    superseded,    // The worker has seen a higher fence.
    refused,       // Any other refusal.
};

struct start_answer {
    start_outcome outcome = start_outcome::unknown;
    bool is_superseded = false;
};

// The connection to one worker. At most one look and one order are in progress at a time. Each callback is
// invoked once, later, on the loop's thread, and not after the channel is destroyed.
// Thread safety: all methods on the loop's thread.
class worker_channel {
public:
    using look_callback = std::function<void(tl::expected<look_answer, worker_error>)>;
    using start_callback = std::function<void(start_answer)>;
    using order_callback = std::function<void(tl::expected<void, worker_error>)>;

    worker_channel() = default;
    worker_channel(const worker_channel&) = delete;
    worker_channel& operator=(const worker_channel&) = delete;
    virtual ~worker_channel() = default;

    virtual void look(const look_request& request, look_callback done) = 0;
    // `hold_until_ms` is a time on the worker's clock.
    virtual void start(const worker_order& order, std::int64_t hold_until_ms, fencing_token fence,
                       start_callback done) = 0;
    // The run ends soon, or never begins. After an error it may still begin.
    virtual void stop(const worker_order& order, fencing_token fence, order_callback done) = 0;
    virtual void pace(const worker_order& order, fencing_token fence, order_callback done) = 0;
};

// Opens connections to workers. Thread safety: all methods may be called from any thread.
class worker_gateway {
public:
    worker_gateway() = default;
    worker_gateway(const worker_gateway&) = delete;
    worker_gateway& operator=(const worker_gateway&) = delete;
    virtual ~worker_gateway() = default;

    // The channel borrows the loop, whose thread carries out its calls.
    virtual std::unique_ptr<worker_channel> open(const worker_id& worker, const std::string& address,
                                                 boost::asio::io_context& loop) = 0;
};

// The directory in which workers register themselves. It lags, and entries may be missing after an outage.
// Thread safety: all methods may be called from any thread.
class worker_directory {
public:
    worker_directory() = default;
    worker_directory(const worker_directory&) = delete;
    worker_directory& operator=(const worker_directory&) = delete;
    virtual ~worker_directory() = default;

    // All usable entries. The error says why the directory cannot be read.
    virtual tl::expected<std::vector<worker_entry>, std::string> list() = 0;
};

// What the configuration says of queues and pools.
struct job_rules {
    std::int64_t version = 0;
    std::vector<queue_rules> queues = {};
    std::vector<worker_pool_rules> pools = {};
};

// Thread safety: all methods may be called from any thread.
class job_rules_source {
public:
    job_rules_source() = default;
    job_rules_source(const job_rules_source&) = delete;
    job_rules_source& operator=(const job_rules_source&) = delete;
    virtual ~job_rules_source() = default;

    // The newest rules; nullptr before the first configuration.
    virtual std::shared_ptr<const job_rules> rules() const = 0;
};

}  // namespace masticpass

#endif
