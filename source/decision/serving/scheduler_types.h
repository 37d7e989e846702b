#ifndef MASTICPASS_DECISION_SERVING_SCHEDULER_TYPES_H
#define MASTICPASS_DECISION_SERVING_SCHEDULER_TYPES_H

#include <cstddef>
#include <optional>

#include <absl/time/time.h>

#include "common/identifier.h"
#include "common/verdict.h"
#include "decision/serving/run_time_estimator.h"

namespace masticpass {

// The properties of a request that the scheduler uses.
struct request_description {
    // Unique among the queued and running requests of the scheduler.
    request_id id;
    job_kind kind;
    absl::Time deadline;
    double worth = 1.0;
    std::optional<absl::Duration> declared_run_time;
    // Memory used by the request while it is queued.
    std::size_t bytes = 0;
    bool urgent = false;
    // Whether the request may run more than once.
    bool repeatable = false;
};

// The capacity of a service instance that is available to this entry VM.
struct instance_capacity {
    vm_id instance;
    // Slots that this entry VM may use now, including those in use.
    int slots = 0;
    // False if the instance is ejected, leaving or reserved.
    bool accepts_work = true;
};

// A request that the caller must run now on the instance. The caller reports its end with attempt_ended.
struct dispatch {
    request_id request;
    vm_id instance;
    // 1 for the first attempt.
    int attempt = 1;
    size_class size = size_class::short_work;
    // Time without a response after which the caller queries the server for the state of the attempt.
    absl::Duration overdue_after;
};

// A queued request that was refused without another attempt.
struct refused_request {
    request_id request;
    refusal cause;
};

enum class cancel_result {
    // The request was removed from the queue and did not run. Nothing more is reported about it.
    removed,
    // The request was removed from the queue, but an earlier attempt may have run it.
    removed_after_attempt,
    // The request is running. It is not retried; attempt_ended reports its end.
    running,
    unknown,
};

enum class attempt_disposition { completed, requeued };

struct scheduler_options {
    estimator_options estimator;
    std::size_t maximum_queue_items = 10'000;
    std::size_t maximum_queue_bytes = std::size_t{64} << 20U;
    // Share of the slots that is guaranteed to long work while short work is queued.
    double guaranteed_long_share = 0.05;
    int retry_percent = 10;
    int retry_burst = 10;
};

}  // namespace masticpass

#endif
