#ifndef MASTICPASS_APPLICATION_ENTRY_FLEET_SERVICE_H
#define MASTICPASS_APPLICATION_ENTRY_FLEET_SERVICE_H

#include <functional>
#include <stop_token>

#include "agent/configuration_agent.h"
#include "agent/fleet_observer.h"
#include "agent/fleet_state.h"
#include "agent/maintenance_agent.h"
#include "agent/membership_agent.h"
#include "operations/fleet_service.h"

namespace masticpass {

// The fleet_service of an entry VM. Returns the state known to this entry VM and writes the changes of
// operators to the store. Ownership: borrows its dependencies. Thread safety: all methods may be called from
// any thread.
class entry_fleet_service final : public fleet_service {
public:
    struct dependencies {
        const settings& configured;
        incarnation_id self;
        const clock& time_source;
        const fleet_state& fleet;
        configuration_agent& configuration;
        maintenance_agent& maintenance;
        membership_agent& membership;
        // Returns the heartbeat of this entry VM.
        std::function<heartbeat()> own_heartbeat;
    };

    explicit entry_fleet_service(dependencies collaborators) : dependencies_(std::move(collaborators)) {}

    // Cancels proposals that are waiting for the store, before a planned stop.
    void stop() { stop_.request_stop(); }

    entry_status status() override;
    operations_result<configuration_view> show_configuration() override;
    operations_result<change_result> propose_change(const configuration_change& change) override;
    operations_result<pool_view> show_pool(const pool_name& pool) override;
    std::vector<entry_view> list_entries() override;
    operations_result<wave_view> show_wave(const wave_name& wave) override;
    operations_result<drain_result> drain_vm(const vm_id& vm, const std::string& author,
                                             const operation_id& operation) override;

private:
    const dependencies dependencies_;
    std::stop_source stop_;
};

}  // namespace masticpass

#endif
