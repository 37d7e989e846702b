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

// Keeps this incarnation in the zone's allotment record and removes incarnations that are proved gone.
// Ownership: owns one thread; borrows everything passed in.
// Thread safety: `leave` may be called from any thread; construct and destroy on one thread.
class allotment_agent {
public:
    // `is_gone` says whether an incarnation is proved gone.
    allotment_agent(const settings& configured, const incarnation_id& self, configuration_store& store,
                    record_cache& records, const fleet_state& fleet, metrics_registry& metrics,
                    std::function<bool(const allotment_member&)> is_terminated);

    // Removes this incarnation from the record, for a planned stop, when nothing of it is in flight any more.
    // Tries for at most `timeout`; false if the record may still name it, in which case the others remove it
    // once it is proved gone.
    bool leave(absl::Duration timeout);

private:
    void reconcile();
    // Writes the record that `propose` makes from the store's present one; false if the present record stays.
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
