#include "decision/maintenance/action_planner.h"

#include <utility>

#include "decision/maintenance/pool_reconciler.h"

namespace masticpass {

bool is_drained(const drain_status& drain, const zone_name& zone, const vm_id& vm,
                const operation_id& operation) {
    const auto senders = drain.senders.find(zone);
    if (senders == drain.senders.end()) {
        return false;
    }
    const auto found = drain.acknowledged.find({vm, operation});
    for (const incarnation_id& sender : senders->second) {
        const bool acknowledged = found != drain.acknowledged.end() && found->second.contains(sender);
        if (!acknowledged && !drain.proved_terminated.contains(sender)) {
            return false;
        }
    }
    return true;
}

unavailable_vms observed_unavailable(const pool_record& record, const std::map<vm_id, vm_observation>& vms) {
    unavailable_vms result;
    for (const auto& [id, vm] : record.vms) {
        const auto seen = vms.find(id);
        if (seen == vms.end() || seen->second.state != vm_list_state::live ||
            !seen->second.last_probe_succeeded || seen->second.failure_confirmed || seen->second.ejected) {
            result.insert(id);
        }
    }
    return result;
}

std::vector<maintenance_action> plan_pool_actions(const maintenance_view& view, const pool_name& pool) {
    const fleet_index index(view);
    return pool_reconciler(view, index, pool, view.next_sequence).reconcile();
}

std::vector<maintenance_action> wave_reports(const maintenance_view& view) {
    std::vector<maintenance_action> reports;
    for (const declared_wave& wave : view.waves) {
        std::map<pool_name, unavailable_vms> observed;
        for (const pool_name& pool : wave.pools) {
            const auto stored = view.pools.find(pool);
            if (stored != view.pools.end()) {
                observed[pool] = observed_unavailable(stored->second.record, view.vms);
            }
        }
        reports.emplace_back(report_wave(wave, view.pools, view.limits, observed, view.now));
    }
    return reports;
}

std::vector<maintenance_action> plan_actions(const maintenance_view& view,
                                             const std::vector<pool_name>& pools) {
    const fleet_index index(view);
    std::vector<maintenance_action> actions;
    std::int64_t sequence = view.next_sequence;
    for (const pool_name& pool : pools) {
        for (maintenance_action& action : pool_reconciler(view, index, pool, sequence).reconcile()) {
            sequence += std::holds_alternative<write_record>(action) ? 1 : 0;
            actions.push_back(std::move(action));
        }
    }
    for (maintenance_action& report : wave_reports(view)) {
        actions.push_back(std::move(report));
    }
    return actions;
}

}  // namespace masticpass
