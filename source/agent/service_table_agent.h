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
#include "routing/slot_quota.h"
#include "settings/settings.h"

namespace masticpass {

// Updates the services of the request router and the slot quota when the configuration, the pool records,
// the VM list or the allotment change, and reports which VMs this entry VM has drained. Ownership: owns one
// thread; borrows everything passed in. Thread safety: all methods may be called from any thread.
class service_table_agent {
public:
    // `has_fresh_pools` returns whether the known pool records are at least as new as the membership of this
    // incarnation in the allotment. Until then no slot is used: a VM that the other entry VMs drained before
    // this incarnation joined would appear to be serving.
    service_table_agent(const settings& configured, const fleet_state& fleet,
                        const server_directory& directory, slot_quota& quota, request_router& router,
                        std::function<bool()> has_fresh_pools);

    // Applies a change without waiting for the next interval.
    void update_now() { thread_.wake(); }

    // Returns the drains to acknowledge: VMs of this zone, with their operations, on which this entry VM has
    // no request in flight and to which it sends no new one.
    std::vector<drain_acknowledgement> drained() const;

private:
    // The versions of the inputs of an update.
    struct input_versions {
        std::uint64_t fleet = 0;
        std::uint64_t directory = 0;
        std::uint64_t quota = 0;
        bool has_fresh_pools = false;

        friend bool operator==(const input_versions&, const input_versions&) = default;
    };

    // Updates the quota and the router if an input has changed.
    void update();
    input_versions current_versions() const;
    void update_quota(const std::map<pool_name, stored_pool_record>& pools);
    std::vector<routed_service> build_services(const configuration_record& configuration,
                                               const std::map<pool_name, stored_pool_record>& pools);
    std::vector<instance_capacity> build_instances(const pool_name& pool,
                                                   const std::map<pool_name, stored_pool_record>& pools);

    const settings& configured_;
    const fleet_state& fleet_;
    const server_directory& directory_;
    slot_quota& quota_;
    request_router& router_;
    const std::function<bool()> has_fresh_pools_;
    // Whether `has_fresh_pools_` has returned true; pool records do not become stale again. Used only by the
    // agent's thread.
    bool are_pools_fresh_ = false;
    mutable absl::Mutex mutex_;
    // The VMs of this zone that are not serving, with their operations.
    std::vector<drain_acknowledgement> draining_ ABSL_GUARDED_BY(mutex_);
    // The inputs of the last update. Used only by the agent's thread.
    std::optional<input_versions> applied_versions_;
    periodic_thread thread_;
};

}  // namespace masticpass

#endif
