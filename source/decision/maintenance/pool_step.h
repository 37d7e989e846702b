#ifndef MASTICPASS_DECISION_MAINTENANCE_POOL_STEP_H
#define MASTICPASS_DECISION_MAINTENANCE_POOL_STEP_H

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "decision/maintenance/move_step.h"
#include "decision/maintenance/next_step.h"

namespace masticpass {

// What one pool's steps need to know of all other pools, computed once per round.
struct fleet_index {
    explicit fleet_index(const maintenance_view& view);

    // VMs on their way to a pool, with the source that shows it.
    std::map<pool_name, std::vector<std::pair<vm_id, const stored_pool_record*>>> arriving;
    // Live VMs by role that no record lists.
    std::map<pool_name, std::vector<vm_id>> unlisted;
};

// Computes the steps of one pool in one round. All changes go into one write of the pool's record.
class pool_step {
public:
    // Keeps references to `view` and `index`.
    pool_step(const maintenance_view& view, const fleet_index& index, const pool_name& pool,
              std::int64_t sequence);

    std::vector<maintenance_action> run();

private:
    void step_vm(const vm_id& id, const pool_vm& vm);
    void step_serving(const vm_id& id, const vm_observation& seen);
    void step_failed(const vm_id& id, const pool_vm& vm, const vm_observation& seen);
    void step_reserved(const vm_id& id, const pool_vm& vm, const vm_observation& seen);
    void step_acting(const vm_id& id, const pool_vm& vm, const vm_observation* seen);
    void step_moving_out(const vm_id& id, const pool_vm& vm);
    void step_incoming(const vm_id& id, const pool_vm& vm, const vm_observation* seen);
    void update_waves();
    void update_moves();
    void plan();

    const vm_observation* observation(const vm_id& id) const;
    const stored_pool_record* stored(const pool_name& pool) const;
    bool is_wanted(const pool_vm& vm) const;
    // True if the changed record takes a serving VM out of service.
    bool disrupts_more() const;
    bool is_over_budget() const;
    operation_context context(const vm_id& id) const;
    // Keeps the changed record if the transition succeeded; returns whether it did.
    bool apply(transition_result result);

    const maintenance_view& view_;
    const fleet_index& index_;
    const pool_name& pool_;
    const change_id change_;
    const pool_limits* limits_ = nullptr;
    const stored_pool_record* base_ = nullptr;
    pool_record record_;
    unavailable_vms observed_;
    std::vector<maintenance_action> actions_;
};

}  // namespace masticpass

#endif
