#ifndef MASTICPASS_DECISION_MAINTENANCE_POOL_RECONCILER_H
#define MASTICPASS_DECISION_MAINTENANCE_POOL_RECONCILER_H

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "decision/maintenance/action_planner.h"
#include "decision/maintenance/move_transition.h"

namespace masticpass {

// Data about all pools that the reconcilers of the single pools need, computed once per round.
struct fleet_index {
    explicit fleet_index(const maintenance_view& view);

    // VMs that are moving to a pool, by target pool, with the source record that shows the move.
    std::map<pool_name, std::vector<std::pair<vm_id, const stored_pool_record*>>> moves_by_target;
    // Serving VMs that no record lists, by the pool whose role they run.
    std::map<pool_name, std::vector<vm_id>> unlisted_by_role;
};

// Computes the actions for one pool in one round. All transitions are combined into one write of the pool's
// record. An instance serves one round. Thread safety: none.
class pool_reconciler {
public:
    // Keeps references to `view`, `index` and `pool`, which must outlive the reconciler.
    pool_reconciler(const maintenance_view& view, const fleet_index& index, const pool_name& pool,
                    std::int64_t sequence);

    std::vector<maintenance_action> reconcile();

private:
    void reconcile_vm(const vm_id& id, const pool_vm& vm);
    void reconcile_serving(const vm_id& id, const vm_observation& seen);
    void reconcile_failed(const vm_id& id, const pool_vm& vm, const vm_observation& seen);
    void reconcile_reserved(const vm_id& id, const pool_vm& vm, const vm_observation& seen);
    void reconcile_acting(const vm_id& id, const pool_vm& vm, const vm_observation* seen);
    void reconcile_moving_out(const vm_id& id, const pool_vm& vm);
    void reconcile_incoming(const vm_id& id, const pool_vm& vm, const vm_observation* seen);
    void update_waves();
    void update_moves();
    void reserve_planned_vms();

    const vm_observation* find_observation(const vm_id& id) const;
    const stored_pool_record* find_record(const pool_name& pool) const;
    bool is_reservation_needed(const pool_vm& vm) const;
    // True if the changed record takes a VM out of service that serves in the stored record.
    bool takes_vm_out_of_service() const;
    bool is_over_budget() const;
    operation_context context(const vm_id& id) const;
    // Adopts the changed record if the transition succeeded; returns whether it did.
    bool apply(transition_result result);

    const maintenance_view& view_;
    const fleet_index& index_;
    const pool_name& pool_;
    const change_id change_id_;
    const pool_limits* limits_ = nullptr;
    const stored_pool_record* stored_ = nullptr;
    pool_record record_;
    unavailable_vms observed_;
    std::vector<maintenance_action> actions_;
};

}  // namespace masticpass

#endif
