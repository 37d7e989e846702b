#ifndef MASTICPASS_ROUTING_ATTEMPT_SUPERVISOR_H
#define MASTICPASS_ROUTING_ATTEMPT_SUPERVISOR_H

#include <string>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "backend/backend_client.h"
#include "common/clock.h"
#include "decision/serving/attempt_watch.h"
#include "telemetry/metrics.h"

namespace masticpass {

// Asks backend servers for the state of overdue attempts and ends those on a silent connection and those that
// exceed their time limit.
// Ownership: borrows everything passed in.
// Thread safety: `begin` and `finish` may be called from any thread, `step` from one thread.
class attempt_supervisor {
public:
    attempt_supervisor(backend_client& backends, const clock& time_source, metrics_registry& metrics)
        : backends_(backends), clock_(time_source), metrics_(metrics) {}

    // Notes an attempt that begins now. It is overdue after `suspect_after`, or after 500 ms if that is
    // longer, and may take `time_limit`.
    void begin(const attempt_id& attempt, const std::string& address, absl::Duration suspect_after,
               absl::Duration time_limit);

    // Notes the end of an attempt.
    void finish(const attempt_id& attempt);

    // Ends attempts beyond their time limit and asks about at most one overdue attempt, which takes up to
    // 250 ms; to be called every 10 ms or so.
    void step();

private:
    void end(const attempt_id& attempt, attempt_end reason);
    void ask(const attempt_id& attempt, const std::string& address);

    backend_client& backends_;
    const clock& clock_;
    metrics_registry& metrics_;
    absl::Mutex mutex_;
    attempt_watch watch_ ABSL_GUARDED_BY(mutex_);
    // The addresses of the servers of the attempts in flight.
    absl::flat_hash_map<attempt_id, std::string> addresses_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass

#endif
