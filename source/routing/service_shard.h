#ifndef MASTICPASS_ROUTING_SERVICE_SHARD_H
#define MASTICPASS_ROUTING_SERVICE_SHARD_H

#include <atomic>
#include <optional>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/types/span.h>
#include <tl/expected.hpp>

#include "common/clock.h"
#include "decision/serving/server_health.h"
#include "decision/serving/service_scheduler.h"

namespace masticpass {

// The load of one service: its slots, its queue and its running requests.
struct shard_load {
    int free_slots = 0;
    int usable_slots = 0;
    int queued = 0;
    int running = 0;
};

// The scheduler of one service, the health of its servers, and the threads that wait for its slots, under one
// lock. Ownership: borrows the clock, which must outlive it. Thread safety: all methods may be called from
// any thread.
class service_shard {
public:
    service_shard(const scheduler_options& options, const clock& time_source);

    // Queues a request and blocks until it gets a slot. Errors, all as not run: the refusals of the
    // scheduler, and job_fails_everywhere for a job kind that recently failed on several servers.
    tl::expected<dispatch, refusal> wait_for_slot(const request_description& request);

    // Reports the end of a dispatched attempt. If the result is `requeued`, the caller must call wait_again.
    [[nodiscard]] tl::expected<attempt_disposition, refusal> attempt_ended(const request_id& id,
                                                                           const attempt_result& result);

    // Records the success or failure of an attempt for the health of the server and of the job kind.
    void record_outcome(const vm_id& server, const job_kind& kind, bool succeeded);

    // An ejected server that is to be probed now; the caller reports the result with probe_ended.
    std::optional<vm_id> next_probe();
    void probe_ended(const vm_id& server, bool succeeded);
    std::vector<vm_id> ejected_servers() const;

    // Blocks until a request that was queued again gets a slot.
    tl::expected<dispatch, refusal> wait_again(const request_id& id);

    cancel_result cancel(const request_id& id);
    void update_instances(absl::Span<const instance_capacity> instances);
    // Dispatches nothing to the server for `suspension_period`. Used by a caller that learns before
    // update_instances that the server takes no work.
    void suspend(const vm_id& server);
    // Longer than the interval at which the service table is updated.
    static constexpr absl::Duration suspension_period = absl::Milliseconds(200);

    // Refuses all queued requests.
    void refuse_queued(refusal_reason reason, const std::string& message);

    // Refuses queued requests that can no longer meet their deadline and dispatches the others to free slots.
    // To be called every few milliseconds. Does nothing while no request waits.
    void tick();

    shard_load load() const;

private:
    // The state of one waiting thread.
    struct waiter {
        absl::CondVar changed;
        std::optional<tl::expected<dispatch, refusal>> outcome;
    };

    tl::expected<dispatch, refusal> wait(const request_id& id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    // Updates the instances of the scheduler, which get no work while ejected or suspended, and dispatches.
    void apply_instances(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    // Refuses expired requests and dispatches queued ones to free slots.
    void advance(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void notify(const request_id& id, tl::expected<dispatch, refusal> outcome)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const clock& clock_;
    // The size of `waiters_`, readable without the lock.
    std::atomic<std::size_t> waiting_ = 0;
    mutable absl::Mutex mutex_;
    service_scheduler scheduler_ ABSL_GUARDED_BY(mutex_);
    server_health health_ ABSL_GUARDED_BY(mutex_);
    // The instances as last set by update_instances, without ejections and suspensions.
    std::vector<instance_capacity> instances_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<vm_id, absl::Time> suspended_until_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<request_id, std::unique_ptr<waiter>> waiters_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass

#endif
