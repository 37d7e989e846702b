#ifndef MASTICPASS_AGENT_SERVICE_TABLE_AGENT_H
#define MASTICPASS_AGENT_SERVICE_TABLE_AGENT_H

#include <functional>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "agent/fleet_state.h"
#include "agent/periodic_thread.h"
#include "peer/heartbeat.h"
#include "routing/request_router.h"
#include "routing/server_directory.h"
#include "routing/slot_ledger.h"
#include "settings/settings.h"

namespace masticpass {

// Keeps the router's services and the ledger up to date with the configuration, the pool records, the VM list
// and the allotment, and says which VMs are drained here. Ownership: owns one thread; borrows everything
// passed in. Thread safety: all methods may be called from any thread.
class service_table_agent {
public:
    // `has_fresh_pools` says whether the pool records held are at least as new as this incarnation's entry in
    // the allotment. Until then no slot is used: a VM that the others drained before this incarnation joined
    // would look as if it served.
    service_table_agent(const settings& configured, const fleet_state& fleet,
                        const server_directory& directory, slot_ledger& ledger, request_router& router,
                        std::function<bool()> has_fresh_pools);

    // Applies a change at once.
    void update_now() { thread_.wake(); }

    // The operations whose VMs of this zone have no request of this entry VM in flight and get none.
    std::vector<drain_acknowledgement> drained() const;

private:
    struct input_versions {
        std::uint64_t fleet = 0;
        std::uint64_t directory = 0;
        std::uint64_t ledger = 0;
        bool has_fresh_pools = false;

        friend bool operator==(const input_versions&, const input_versions&) = default;
    };

    void update();
    input_versions current_versions() const;
    void update_ledger(const std::map<pool_name, stored_pool_record>& pools);
    std::vector<routed_service> build_services(const configuration_record& configuration,
                                               const std::map<pool_name, stored_pool_record>& pools);
    std::vector<instance_capacity> build_instances(const pool_name& pool,
                                                   const std::map<pool_name, stored_pool_record>& pools);

    const settings& configured_;
    const fleet_state& fleet_;
    const server_directory& directory_;
    slot_ledger& ledger_;
    request_router& router_;
    const std::function<bool()> has_fresh_pools_;
    // Pool records do not become stale again. Used by the agent's thread only.
    bool are_pools_fresh_ = false;
    mutable absl::Mutex mutex_;
    std::vector<drain_acknowledgement> draining_ ABSL_GUARDED_BY(mutex_);
    // Used by the thread only.
    std::optional<input_versions> applied_versions_;
    periodic_thread thread_;
};

}  // namespace masticpass

#endif
