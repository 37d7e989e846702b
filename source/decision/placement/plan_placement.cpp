#include "decision/placement/plan_placement.h"

#include <utility>

#include "decision/placement/move_round.h"

namespace masticpass {

namespace {

placement_plan plan_round(assessed_pools& pools, absl::Span<const team_quota> quotas,
                          const placement_policy& policy, absl::Time now) {
    placement_plan plan;
    plan.targets.reserve(pools.size());
    for (const auto& [name, pool] : pools) {
        plan.targets.push_back({name, pool.assessment.target_vms, pool.assessment.shortage_vms});
    }
    plan.moves = move_round(pools, quotas, policy, now).choose();
    return plan;
}

void assess(assessed_pool& pool, const placement_policy& policy, absl::Time now) {
    pool.assessment = assess_pool(pool.input, policy);
    update_timers(pool.timers, pool.assessment, now);
}

}  // namespace

placement_plan plan_placement(absl::Span<const placement_pool> pools, absl::Span<const team_quota> quotas,
                              const placement_policy& policy, placement_history& history, absl::Time now) {
    assessed_pools planned;
    for (const auto& input : pools) {
        auto& pool = planned[input.pool];
        pool.input = input;
        if (const auto found = history.find(input.pool); found != history.end()) {
            pool.timers = found->second;
        }
        assess(pool, policy, now);
    }
    auto plan = plan_round(planned, quotas, policy, now);
    history.clear();
    for (const auto& [name, pool] : planned) {
        history[name] = pool.timers;
    }
    return plan;
}

void placement_planner::update_pool(placement_pool pool) {
    auto& planned = pools_[pool.pool];
    if (planned.input == pool) {
        return;
    }
    changed_.insert(pool.pool);
    planned.input = std::move(pool);
}

void placement_planner::remove_pool(const pool_name& pool) {
    pools_.erase(pool);
    changed_.erase(pool);
}

void placement_planner::set_quotas(absl::Span<const team_quota> quotas) {
    quotas_.assign(quotas.begin(), quotas.end());
}

placement_plan placement_planner::plan(absl::Time now) {
    for (const auto& name : changed_) {
        assess(pools_.at(name), policy_, now);
    }
    reassessed_pools_ = static_cast<int>(changed_.size());
    changed_.clear();
    return plan_round(pools_, quotas_, policy_, now);
}

}  // namespace masticpass
