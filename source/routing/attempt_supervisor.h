#ifndef MASTICPASS_ROUTING_ATTEMPT_SUPERVISOR_H
#define MASTICPASS_ROUTING_ATTEMPT_SUPERVISOR_H

#include <string>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "backend/backend_client.h"
#include "common/clock.h"
#include "decision/serving/attempt_monitor.h"
#include "routing/server_directory.h"
#include "routing/slot_quota.h"
#include "telemetry/metrics.h"

namespace masticpass {

// Queries backend servers for the state of overdue attempts, and ends attempts whose connection is silent or
// that exceed their timeout. Releases the slots of abandoned attempts, which ended without a response, once
// their servers no longer run them. Ownership: borrows all constructor arguments. Thread safety: `begin`,
// `finish` and `abandon` may be called from any thread, `step` from one thread.
class attempt_supervisor {
public:
    attempt_supervisor(backend_client& backends, const server_directory& directory, slot_quota& quota,
                       const clock& time_source, metrics_registry& metrics)
        : backends_(backends), directory_(directory), quota_(quota), clock_(time_source), metrics_(metrics) {}

    // Starts to supervise an attempt that begins now on `server`. The attempt is overdue after
    // `overdue_after`, or after 500 ms if that is longer, and times out after `timeout`.
    void begin(const attempt_id& attempt, const server_state& server, absl::Duration overdue_after,
               absl::Duration timeout);

    // Stops supervising an attempt that has ended. The caller releases its slot.
    void finish(const attempt_id& attempt);

    // Records that an attempt has ended while the server may still run it. The caller has abandoned its slot
    // in the quota. `step` releases the slot when the server responds that it does not run the attempt or
    // responds without a state, when the server has another boot identity, or when its VM is terminated.
    void abandon(const attempt_id& attempt);

    // Ends attempts beyond their timeout and queries the state of at most one overdue attempt, which takes up
    // to 250 ms. Returns whether there was an attempt to query.
    bool step();

private:
    struct supervised_attempt {
        vm_id vm;
        boot_id boot;
        std::string address;
        bool is_abandoned = false;
    };

    void end(const attempt_id& attempt, attempt_end reason);
    void query(const attempt_id& attempt, const supervised_attempt& supervised);
    void handle_query_response(const attempt_id& attempt, const supervised_attempt& supervised,
                               attempt_state state);
    void release_slot(const attempt_id& attempt, const supervised_attempt& supervised, const char* cause);

    backend_client& backends_;
    const server_directory& directory_;
    slot_quota& quota_;
    const clock& clock_;
    metrics_registry& metrics_;
    absl::Mutex mutex_;
    attempt_monitor monitor_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<attempt_id, supervised_attempt> attempts_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass

#endif
