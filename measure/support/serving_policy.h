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
    // The class as which the policy counts the job at its start.
    size_class size = size_class::short_work;
};

// Decides which job runs where. Times in seconds.
class serving_policy {
public:
    serving_policy() = default;
    serving_policy(const serving_policy&) = delete;
    serving_policy& operator=(const serving_policy&) = delete;
    virtual ~serving_policy() = default;

    virtual void handle_arrival(std::size_t job, double now) = 0;
    // Called until it returns nullopt.
    virtual std::optional<policy_choice> choose_next(double now) = 0;
    virtual void handle_end(std::size_t job, int server, const attempt_result& result, double now) = 0;
    // Next time at which the policy wants to act without an event.
    virtual double next_wake_up(double now) = 0;
};

enum class queue_order { first_come, deadline };

// One queue per service in a fixed order; jobs whose deadline has passed are dropped, failed ones are retried
// without a limit if that is allowed.
std::unique_ptr<serving_policy> make_simple_policy(const serving_trace& trace, queue_order order);

// Knows the class of each job by its true run time: short work goes first in the order of arrival, and long
// work leaves `kept_slots` to it. Deadlines are ignored.
std::unique_ptr<serving_policy> make_true_class_policy(const serving_trace& trace, int reserved_slots);

struct scheduler_policy_options {
    scheduler_options scheduler;
    bool ejection = true;
};

// The scheduler and the server health of this project.
std::unique_ptr<serving_policy> make_scheduler_policy(const serving_trace& trace,
                                                      scheduler_policy_options options);

}  // namespace masticpass::measure

#endif
