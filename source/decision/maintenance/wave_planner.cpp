#include "decision/maintenance/wave_planner.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace masticpass {

namespace {

int round_count(int count, int limit) {
    return (count + limit - 1) / limit;
}

int tighter_limit(const std::optional<int>& limit, int bound) {
    return limit ? std::min(*limit, bound) : bound;
}

struct candidate {
    vm_id id;
    const pool_vm* vm = nullptr;
    wave_name wave;
    bool rebootable = false;
};

// Chooses VMs one after the other and counts the VMs that the choices make unavailable.
class pool_planner {
public:
    pool_planner(const pool_record& record, const pool_limits& limits, const unavailable_vms& observed,
                 std::vector<candidate> candidates)
        : budget_(limits.budget),
          counts_(record, observed, limits.minimum_vms),
          candidates_(std::move(candidates)) {
        for (const candidate& item : candidates_) {
            ++pending_per_zone_[item.vm->zone];
            ++pending_per_rack_[item.vm->rack];
        }
    }

    std::vector<planned_reservation> plan() {
        std::vector<planned_reservation> planned;
        while (true) {
            auto best = candidates_.end();
            for (auto item = candidates_.begin(); item != candidates_.end(); ++item) {
                if (has_room(*item) && (best == candidates_.end() || sort_key(*item) < sort_key(*best))) {
                    best = item;
                }
            }
            if (best == candidates_.end()) {
                return planned;
            }
            planned.push_back({best->id, best->wave});
            if (!best->rebootable) {
                counts_.add(*best->vm);
            }
            --pending_per_zone_[best->vm->zone];
            --pending_per_rack_[best->vm->rack];
            candidates_.erase(best);
        }
    }

private:
    bool has_room(const candidate& item) const {
        return item.rebootable ? !counts_.exceeded_limit(budget_).has_value()
                               : counts_.has_room_for(*item.vm, budget_);
    }

    // The sort key of a candidate; the smallest is chosen. Where the number of zones or racks with
    // unavailable VMs is limited, candidates in those that already have unavailable VMs come first, so that
    // the other ones stay fully available. Choosing from the zone or rack with the most rounds left prevents
    // a single one from finishing last and prolonging the wave.
    std::tuple<bool, bool, bool, int, int, absl::Time> sort_key(const candidate& item) const {
        const pool_vm& vm = *item.vm;
        const int zone_rounds =
            round_count(pending_per_zone_.at(vm.zone),
                        tighter_limit(budget_.max_unavailable_per_zone, budget_.max_unavailable));
        const int rack_rounds =
            round_count(pending_per_rack_.at(vm.rack),
                        tighter_limit(budget_.max_unavailable_per_rack, budget_.max_unavailable));
        return {!item.rebootable,
                budget_.max_zones_unavailable && counts_.in_zone(vm.zone) == 0,
                budget_.max_racks_unavailable && counts_.in_rack(vm.rack) == 0,
                -zone_rounds,
                -rack_rounds,
                vm.maintained_at};
    }

    const availability_budget& budget_;
    unavailable_vm_counts counts_;
    std::vector<candidate> candidates_;
    std::map<zone_name, int> pending_per_zone_;
    std::map<rack_name, int> pending_per_rack_;
};

bool includes_pool(const declared_wave& wave, const pool_name& pool) {
    return std::find(wave.pools.begin(), wave.pools.end(), pool) != wave.pools.end();
}

// The running wave for which the VM has to be maintained, an empty name if only its maintenance is due,
// nullopt if neither applies.
std::optional<wave_name> maintenance_reason(const pool_record& record, const pool_vm& vm,
                                            absl::Span<const declared_wave> waves, absl::Time now) {
    bool paused = false;
    for (const declared_wave& wave : waves) {
        if (!includes_pool(wave, record.pool)) {
            continue;
        }
        paused = paused || wave.state == wave_state::paused;
        const auto progress = record.waves.find(wave.name);
        if (wave.state == wave_state::running && progress != record.waves.end() && !progress->second.ended &&
            is_pending(vm, progress->second.started_at)) {
            return wave.name;
        }
    }
    if (!paused && counts_in_size(vm) &&
        now >= vm.maintained_at + maintenance_period - maintenance_lead_time) {
        return wave_name();
    }
    return std::nullopt;
}

}  // namespace

std::vector<planned_reservation> plan_reservations(const pool_record& record, const pool_limits& limits,
                                                   const unavailable_vms& observed,
                                                   const unavailable_vms& rebootable,
                                                   absl::Span<const declared_wave> waves, absl::Time now) {
    std::vector<candidate> candidates;
    for (const auto& [id, vm] : record.vms) {
        const bool can_reboot = rebootable.contains(id);
        if (vm.phase != vm_phase::serving || (observed.contains(id) && !can_reboot)) {
            continue;
        }
        if (auto wave = maintenance_reason(record, vm, waves, now)) {
            candidates.push_back({id, &vm, *std::move(wave), can_reboot});
        }
    }
    return pool_planner(record, limits, observed, std::move(candidates)).plan();
}

bool is_pending(const pool_vm& vm, absl::Time started_at) {
    return counts_in_size(vm) && vm.maintained_at < started_at;
}

bool has_exceeded_return_timeout(const pool_vm& vm, absl::Time now) {
    return (vm.phase == vm_phase::failed || vm.phase == vm_phase::acting) && now - vm.since > return_timeout;
}

std::optional<int> lower_bound_rounds(const pool_record& record, const availability_budget& budget) {
    if (!check_satisfiable({budget, 0}, std::nullopt)) {
        return std::nullopt;
    }
    std::map<zone_name, int> zones;
    std::map<rack_name, int> racks;
    for (const auto& [id, vm] : record.vms) {
        if (counts_in_size(vm)) {
            ++zones[vm.zone];
            ++racks[vm.rack];
        }
    }
    const int per_zone = tighter_limit(budget.max_unavailable_per_zone, budget.max_unavailable);
    const int per_rack = tighter_limit(budget.max_unavailable_per_rack, per_zone);
    int bound = round_count(pool_size(record), budget.max_unavailable);
    int zone_rounds = 0;
    for (const auto& [zone, count] : zones) {
        bound = std::max(bound, round_count(count, per_zone));
        zone_rounds += round_count(count, per_zone);
    }
    int rack_rounds = 0;
    for (const auto& [rack, count] : racks) {
        bound = std::max(bound, round_count(count, per_rack));
        rack_rounds += round_count(count, per_rack);
    }
    bound = std::max(bound, round_count(zone_rounds, budget.max_zones_unavailable.value_or(zone_rounds + 1)));
    return std::max(bound, round_count(rack_rounds, budget.max_racks_unavailable.value_or(rack_rounds + 1)));
}

}  // namespace masticpass
