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

// Executes the maintenance actions of the pools that rendezvous hashing assigns to this entry VM: it writes
// pool records and starts reboots through the VM control. The decisions are made by plan_actions().
// Ownership: owns one thread; borrows everything passed in. Thread safety: all methods may be called from any
// thread.
class maintenance_agent {
public:
    // `is_own_pool` returns whether the pool is assigned to this entry VM.
    maintenance_agent(const incarnation_id& self, configuration_store& store, vm_control& control,
                      record_cache& records, const fleet_state& fleet, fleet_observer& observer,
                      metrics_registry& metrics, std::function<bool(const pool_name&)> is_own_pool);

    // Reserves a VM at an operator's request, if the budget of its pool permits it. Returns the current phase
    // if the VM is reserved or being rebooted already.
    operations_result<drain_result> drain(const vm_id& vm, const operation_id& operation);

    // Returns the progress of the declared waves, as far as this entry VM knows it.
    std::vector<wave_report> waves();

    // Starts moves within the budgets of their source pools. A move that cannot start now is dropped. Started
    // moves are recorded in the pool records, so any entry VM can continue them.
    void start_moves(const std::vector<move_request>& moves);

    // Starts no further rounds, moves, drains and reboots. A round in progress may still write records.
    void stop() { stopping_ = true; }

private:
    void run_round();
    maintenance_view make_view();
    // Creates the records of declared pools that have none. A new record contains the declared VMs that run
    // in the role of the pool and that no other record contains.
    void create_missing_records(const maintenance_view& view);
    void try_start_move(const move_request& move, const maintenance_view& view);
    void execute(const maintenance_action& action);
    void write(const write_record& action);
    void reboot(const reboot_vm& action);
    // Writes a pool record and returns its new store revision. Reads the record again after any error.
    tl::expected<store_revision, store_error_kind> write_pool(const pool_record& record,
                                                              std::int64_t expected_revision);
    // Explains why the write that reserves a VM for an operator's drain failed. `expected_revision` is the
    // revision of the pool's record that the write expected.
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
    // Serializes rounds, moves and operators' drains, which share the sequence numbers of change ids.
    absl::Mutex round_mutex_;
    // The result of the last round that was not skipped: whether no operation was in progress, the version of
    // the fleet state that it used, and its time.
    bool is_idle_ ABSL_GUARDED_BY(round_mutex_) = false;
    std::uint64_t last_version_ ABSL_GUARDED_BY(round_mutex_) = 0;
    absl::Time last_round_ ABSL_GUARDED_BY(round_mutex_) = absl::InfinitePast();
    std::int64_t next_sequence_ ABSL_GUARDED_BY(round_mutex_) = 1;
    periodic_thread thread_;
};

}  // namespace masticpass

#endif
