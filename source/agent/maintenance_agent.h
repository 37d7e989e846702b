#ifndef MASTICPASS_AGENT_MAINTENANCE_AGENT_H
#define MASTICPASS_AGENT_MAINTENANCE_AGENT_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "agent/fleet_observer.h"
#include "agent/fleet_state.h"
#include "agent/periodic_thread.h"
#include "agent/record_cache.h"
#include "decision/maintenance/action_planner.h"
#include "operations/fleet_service.h"
#include "store/configuration_store.h"
#include "telemetry/metrics.h"
#include "vm/vm_control.h"

namespace masticpass {

// Carries out the maintenance decisions for the pools that rendezvous hashing gives to this entry VM: writes
// pool records and calls reboots. It decides nothing itself. Ownership: owns one thread; borrows everything
// passed in. Thread safety: all methods may be called from any thread.
class maintenance_agent {
public:
    // `is_own_pool` says whether this entry VM acts for the pool. `is_stopping` ends new writes and reboots.
    maintenance_agent(const incarnation_id& self, configuration_store& store, vm_control& control,
                      record_cache& records, const fleet_state& fleet, fleet_observer& observer,
                      metrics_registry& metrics, std::function<bool(const pool_name&)> is_own_pool);

    // Reserves a VM for an operator within its pool's budget.
    operations_result<drain_result> drain(const vm_id& vm, const operation_id& operation);

    // Progress of the declared waves as this entry VM sees them.
    std::vector<wave_report> waves();

    // Starts moves within the budgets of their source pools. One that cannot start now is dropped; any entry
    // VM goes on with those that started.
    void start_moves(const std::vector<move_request>& moves);

    void stop() { stopping_ = true; }

private:
    void run_round();
    maintenance_view make_view();
    void create_missing_records(const maintenance_view& view);
    void try_start_move(const move_request& move, const maintenance_view& view);
    void execute(const maintenance_action& action);
    void write(const write_record& action);
    void reboot(const reboot_vm& action);
    // The revision of the write. After any error, the record is read again.
    tl::expected<store_revision, store_error_kind> write_pool(const pool_record& record,
                                                              std::int64_t expected_revision);
    // Why the reservation of a drain, a write over the `expected_revision` of the pool's record, failed.
    operations_error drain_error(store_error_kind kind, const pool_name& pool,
                                 std::int64_t expected_revision) const;

    const incarnation_id self_;
    configuration_store& store_;
    vm_control& control_;
    record_cache& records_;
    const fleet_state& fleet_;
    fleet_observer& observer_;
    metrics_registry& metrics_;
    const std::function<bool(const pool_name&)> is_own_pool_;
    std::atomic<bool> stopping_ = false;
    // Serializes rounds and operators' drains, which share the sequence numbers of change ids.
    absl::Mutex round_mutex_;
    // Of the last round. A quiet one found nothing in operation.
    bool is_idle_ ABSL_GUARDED_BY(round_mutex_) = false;
    std::uint64_t last_version_ ABSL_GUARDED_BY(round_mutex_) = 0;
    absl::Time last_round_ ABSL_GUARDED_BY(round_mutex_) = absl::InfinitePast();
    std::int64_t next_sequence_ ABSL_GUARDED_BY(round_mutex_) = 1;
    periodic_thread thread_;
};

}  // namespace masticpass

#endif
