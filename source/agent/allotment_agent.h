#ifndef MASTICPASS_AGENT_ALLOTMENT_AGENT_H
#define MASTICPASS_AGENT_ALLOTMENT_AGENT_H

#include <functional>

#include "agent/fleet_state.h"
#include "agent/periodic_thread.h"
#include "agent/record_cache.h"
#include "settings/settings.h"
#include "store/configuration_store.h"
#include "telemetry/metrics.h"

namespace masticpass {

// Adds this incarnation to the zone's allotment record, keeps it there, and removes incarnations that are
// proved terminated.
// Ownership: owns one thread; borrows everything passed in.
// Thread safety: `leave` may be called from any thread; construct and destroy on one thread.
class allotment_agent {
public:
    // `is_terminated` returns whether an incarnation is proved terminated.
    allotment_agent(const settings& configured, const incarnation_id& self, configuration_store& store,
                    record_cache& records, const fleet_state& fleet, metrics_registry& metrics,
                    std::function<bool(const allotment_member&)> is_terminated);

    // Removes this incarnation from the record during a planned stop. Precondition: none of its requests is
    // in flight. Retries until `timeout`. Returns false if the record may still contain the incarnation; the
    // other entry VMs then remove it once it is proved terminated.
    bool leave(absl::Duration timeout);

private:
    // Writes the record if it does not contain this incarnation, or contains one that must be removed.
    void reconcile();
    // Reads the record, and writes what `propose` returns for it if that differs. Returns false if the read
    // failed or was stale, or if the write failed; the write may then still have taken effect.
    template <typename Propose>
    bool update_record(Propose propose);

    const settings& configured_;
    const incarnation_id self_;
    configuration_store& store_;
    record_cache& records_;
    const fleet_state& fleet_;
    metrics_registry& metrics_;
    const std::function<bool(const allotment_member&)> is_terminated_;
    absl::Mutex mutex_;
    bool leaving_ ABSL_GUARDED_BY(mutex_) = false;
    periodic_thread thread_;
};

}  // namespace masticpass

#endif
