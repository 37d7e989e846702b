#ifndef MASTICPASS_DECISION_SERVING_SCHEDULER_TYPES_H
#define MASTICPASS_DECISION_SERVING_SCHEDULER_TYPES_H

#include <cstddef>
#include <optional>

#include <absl/time/time.h>

#include "common/identifier.h"
#include "common/verdict.h"
#include "decision/serving/run_time_estimator.h"

namespace masticpass {

// A request as the scheduler sees it.
struct request_description {
    // Unique among the queued and running requests of the scheduler.
    request_id id;
    job_kind kind;
    absl::Time deadline;
    double worth = 1.0;
    std::optional<absl::Duration> declared_run_time;
    // Memory held by the request while it is queued.
    std::size_t bytes = 0;
    bool urgent = false;
    // Whether the request may run more than once.
    bool repeatable = false;
};

// An instance of the service as this entry VM may use it.
struct instance_capacity {
    vm_id instance;
    // Slots that this entry VM may use now, those in use included.
    int slots = 0;
    // False if the instance is ejected, leaving or reserved.
    bool accepts_work = true;
};

// A request that the caller has to run now on the instance. Ends with attempt_ended.
struct dispatch {
    request_id request;
    vm_id instance;
    // 1 for the first attempt.
    int attempt = 1;
    size_class size = size_class::short_work;
    // Time without a response after which the connection is to be probed.
    absl::Duration overdue_after;
};

// A queued request that ended without a further attempt.
struct refused_request {
    request_id request;
    refusal cause;
};

enum class cancel_result {
    // The request has left the queue and did not run; nothing further is reported about it.
    removed,
    // As above, but an earlier attempt may have run it.
    removed_after_attempt,
    // The request runs. It is not retried; attempt_ended reports its end.
    running,
    unknown,
};

enum class attempt_disposition { completed, requeued };

struct scheduler_options {
    estimator_options estimator;
    std::size_t max_queue_items = 10'000;
    std::size_t max_queue_bytes = std::size_t{64} << 20U;
    // Share of the slots that long work gets while short work waits.
    double guaranteed_long_share = 0.05;
    int retry_percent = 10;
    int retry_burst = 10;
};

}  // namespace masticpass

#endif
