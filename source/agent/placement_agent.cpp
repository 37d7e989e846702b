#include "agent/placement_agent.h"

#include <algorithm>
#include <set>
#include <utility>

namespace masticpass {

namespace {

constexpr absl::Duration sample_interval = absl::Seconds(1);
constexpr absl::Duration plan_interval = absl::Seconds(5);
// Default size of the buffer that all pools share: the spare pool keeps one VM for this many VMs of the
// fleet.
constexpr int vms_per_buffer_vm = 10;

placement_vm_state state_of(const vm_id& id, const pool_vm& vm, const unavailable_vms& observed) {
    switch (vm.phase) {
        case vm_phase::moving_out:
            return placement_vm_state::moving_out;
        case vm_phase::incoming:
            return placement_vm_state::incoming;
        case vm_phase::serving:
            return observed.contains(id) ? placement_vm_state::unavailable : placement_vm_state::serving;
        default:
            return vm.joining ? placement_vm_state::incoming : placement_vm_state::unavailable;
    }
}

std::vector<team_quota> quotas_of(const fleet_configuration& configuration) {
    std::vector<team_quota> result;
    for (const auto& [team, section] : configuration.teams) {
        result.push_back({team, section.quota_vms});
    }
    return result;
}

}  // namespace

placement_agent::placement_agent(const fleet_state& fleet, maintenance_agent& maintenance,
                                 const clock& time_source, metrics_registry& metrics, sources agent_sources)
    : fleet_(fleet),
      maintenance_(maintenance),
      clock_(time_source),
      metrics_(metrics),
      sources_(std::move(agent_sources)),
      thread_(sample_interval, [this] { sample(); }) {}

void placement_agent::sample() {
    const auto record = fleet_.configuration();
    if (!record) {
        return;
    }
    const absl::Time now = clock_.now();
    std::map<service_name, double> demand_by_service;
    for (const auto& [service, section] : record->configuration.services) {
        demand_by_service[service] = 0;
    }
    for (const heartbeat& beat : sources_.heartbeats()) {
        for (const service_load& load : beat.services) {
            if (const auto found = demand_by_service.find(load.service); found != demand_by_service.end()) {
                found->second += load.demand_slots;
            }
        }
    }
    for (const auto& [service, slots] : demand_by_service) {
        demand_.record(service, now, slots);
    }
    if (now >= next_plan_) {
        next_plan_ = now + plan_interval;
        plan(now);
    }
}

std::optional<double> placement_agent::sustained_slots(const fleet_configuration& configuration,
                                                       const pool_name& pool, absl::Time now) {
    double total = 0;
    for (const auto& [service, section] : configuration.services) {
        if (section.pool != pool) {
            continue;
        }
        const demand_estimate estimate = demand_.estimate(service, now);
        const auto planned = planned_slots_.find(service);
        if (!estimate.reliable && planned == planned_slots_.end()) {
            return std::nullopt;
        }
        const double previous = planned == planned_slots_.end() ? estimate.sustained_slots : planned->second;
        total += planned_slots_[service] = planned_demand(previous, estimate);
    }
    return total;
}

placement_pool placement_agent::make_placement_pool(const pool_name& name, const pool_section& section,
                                                    const stored_pool_record& stored,
                                                    const std::map<vm_id, vm_observation>& vms) const {
    placement_pool pool;
    pool.pool = name;
    pool.team = section.team;
    pool.zones = section.zones;
    pool.minimum_vms = section.minimum_vms;
    pool.spare = section.spare;
    pool.survive_rack = section.survive_rack;
    pool.survive_zone = section.survive_zone;
    pool.budget = section.budget;
    const unavailable_vms observed = observed_unavailable(stored.record, vms);
    for (const auto& [id, vm] : stored.record.vms) {
        pool.vms.push_back({id, vm.zone, vm.rack, state_of(id, vm, observed), true});
    }
    return pool;
}

void placement_agent::plan(absl::Time now) {
    const auto record = fleet_.configuration();
    const fleet_configuration& configuration = record->configuration;
    const auto pools = fleet_.pools();
    const fleet_state::pool_map& stored = *pools;
    const auto vms = sources_.vms();
    std::size_t fleet_size = 0;
    for (const auto& [name, pool] : stored) {
        fleet_size += pool.record.vms.size();
    }
    std::set<pool_name> declared_pools;
    for (const auto& [name, section] : configuration.pools) {
        const auto found = stored.find(name);
        const auto slots = sustained_slots(configuration, name, now);
        if (found == stored.end() || !slots) {
            // Without a reliable estimate for every pool, a plan would take VMs from pools whose demand is
            // unknown.
            return;
        }
        placement_pool pool = make_placement_pool(name, section, found->second, vms);
        pool.sustained_slots = *slots;
        if (section.spare) {
            pool.buffer_vms = section.buffer_vms.value_or(static_cast<int>(fleet_size) / vms_per_buffer_vm);
        }
        for (const auto& [service, declared] : configuration.services) {
            if (declared.pool == name) {
                pool.urgent = pool.urgent || declared.urgent;
                pool.slots_per_vm = declared.slots;
            }
        }
        planner_.update_pool(std::move(pool));
        declared_pools.insert(name);
    }
    for (const pool_name& name : std::exchange(planned_pools_, declared_pools)) {
        if (!declared_pools.contains(name)) {
            planner_.remove_pool(name);
        }
    }
    planner_.set_quotas(quotas_of(configuration));
    const placement_plan planned = planner_.plan(now);
    metrics_.set({"masticpass_planned_moves", "", ""}, static_cast<double>(planned.moves.size()));
    if (planned.moves.empty() || !sources_.is_owner()) {
        return;
    }
    std::vector<move_request> moves;
    for (const planned_move& move : planned.moves) {
        moves.push_back({move.vm, move.from, move.to});
    }
    maintenance_.start_moves(moves);
}

}  // namespace masticpass
