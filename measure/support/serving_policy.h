#ifndef MASTICPASS_MEASURE_SUPPORT_SERVING_POLICY_H
#define MASTICPASS_MEASURE_SUPPORT_SERVING_POLICY_H

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "decision/serving/attempt_outcome.h"
#include "decision/serving/scheduler_types.h"
#include "support/serving_trace.h"

namespace masticpass::measure {

struct policy_choice {
    std::size_t job = 0;
    int server = 0;
    // The size class under which the policy counts the job when it starts it.
    size_class size = size_class::short_work;
};

// Decides which job runs on which server. Times are in seconds.
class serving_policy {
public:
    serving_policy() = default;
    serving_policy(const serving_policy&) = delete;
    serving_policy& operator=(const serving_policy&) = delete;
    virtual ~serving_policy() = default;

    virtual void handle_arrival(std::size_t job, double now) = 0;
    // The next job to start and its server; nullopt if there is none. Called after each event until it
    // returns nullopt.
    virtual std::optional<policy_choice> choose_next(double now) = 0;
    virtual void handle_end(std::size_t job, int server, const attempt_result& result, double now) = 0;
    // The time at which choose_next must be called even if no job arrives or ends before.
    virtual double next_wake_up(double now) = 0;
};

enum class queue_order { first_come, deadline };

// A single queue in the given order. Jobs whose deadline has passed are dropped. Failed jobs are retried
// without a limit if their outcome permits a retry.
std::unique_ptr<serving_policy> make_simple_policy(const serving_trace& trace, queue_order order);

// Knows the size class of each job from its true run time. Short work runs first, in the order of arrival,
// and long work leaves `reserved_slots` free for it. Deadlines are ignored.
std::unique_ptr<serving_policy> make_true_class_policy(const serving_trace& trace, int reserved_slots);

struct scheduler_policy_options {
    scheduler_options scheduler;
    // Whether failing servers are ejected.
    bool ejection = true;
};

// The service scheduler and the server health of masticpass.
std::unique_ptr<serving_policy> make_scheduler_policy(const serving_trace& trace,
                                                      scheduler_policy_options options);

}  // namespace masticpass::measure

#endif
