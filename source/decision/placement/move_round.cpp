#include "decision/placement/move_round.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace masticpass {

namespace {

bool permits_zone(const placement_pool& pool, const zone_name& zone) {
    return pool.zones.empty() || std::find(pool.zones.begin(), pool.zones.end(), zone) != pool.zones.end();
}

bool has_lasted(const std::optional<absl::Time>& since, absl::Duration duration, absl::Time now) {
    return since && now - *since >= duration;
}

}  // namespace

move_round::move_round(assessed_pools& pools, absl::Span<const team_quota> quotas,
                       const placement_policy& policy, absl::Time now)
    : pools_(pools), policy_(policy), now_(now) {
    quotas_.set_quotas(quotas);
    // Keeps references to participants valid when the remaining pools are added later.
    participants_.reserve(pools_.size());
    for (auto& [name, pool] : pools_) {
        quotas_.add_usage(pool.input.team, quota_usage(pool.input));
        const bool has_lasting_shortage =
            pool.assessment.shortage_vms > 0 &&
            has_lasted(pool.timers.shortage_since, policy_.minimum_shortage_duration, now_);
        const bool has_surplus =
            has_lasted(pool.timers.surplus_since, policy_.minimum_surplus_duration, now_);
        if (!has_lasting_shortage && !has_surplus && !pool.input.spare) {
            continue;
        }
        const auto index = participants_.size();
        participants_.push_back(make_participant(pool));
        if (has_lasting_shortage) {
            receivers_.push_back(index);
        }
        if (pool.input.spare) {
            spare_pools_.push_back(index);
        } else if (has_surplus) {
            participants_.back().surplus_vms = pool.timers.minimum_surplus_vms;
            surplus_donors_.push_back(index);
        }
    }
}

std::vector<planned_move> move_round::choose() {
    const auto importance = [this](std::size_t index) {
        const auto& pool = *participants_[index].pool;
        const double missing_share =
            static_cast<double>(pool.assessment.shortage_vms) / std::max(pool.assessment.target_vms, 1);
        return std::tuple(!pool.input.urgent, -missing_share, index);
    };
    std::sort(receivers_.begin(), receivers_.end(),
              [&](std::size_t a, std::size_t b) { return importance(a) < importance(b); });
    std::stable_sort(surplus_donors_.begin(), surplus_donors_.end(), [this](std::size_t a, std::size_t b) {
        return participants_[a].surplus_vms > participants_[b].surplus_vms;
    });
    fill_shortages();
    refill_buffers();
    for (const auto index : surplus_donors_) {
        const auto& donor = participants_[index];
        if (donor.moved_vms > 0) {
            // The remaining surplus must last for the full duration again, so that a pool shrinks in steps.
            // The next inputs reduce the surplus by the VMs that were moved.
            donor.pool->timers.surplus_since = now_;
            donor.pool->timers.minimum_surplus_vms = donor.pool->assessment.surplus_vms;
        }
    }
    return std::move(moves_);
}

move_round::participant move_round::make_participant(assessed_pool& pool) const {
    return {&pool, capacity_of(pool.input), unavailable_of(pool.input), size_without_moves(pool.input), 0, 0,
            {}};
}

bool move_round::has_shortage(const participant& receiver) const {
    return shortage_of(receiver.pool->input, policy_, receiver.capacity) > 0;
}

bool move_round::is_removal_permitted(const participant& donor, const placement_vm& vm) const {
    const auto& pool = donor.pool->input;
    return vm.state == placement_vm_state::serving && vm.movable &&
           donor.size_without_moves > pool.minimum_vms && budget_permits(pool.budget, donor.unavailable, vm);
}

bool move_round::keeps_needed_capacity_without(const participant& donor, const placement_vm& vm) const {
    const auto& pool = donor.pool->input;
    auto remaining = donor.capacity;
    remaining.add(vm, -1);
    return shortage_of(pool, policy_, remaining, pool.spare ? 1.0 : 1 + policy_.shrink_band) == 0;
}

bool move_round::accepts(const participant& receiver, const placement_vm& vm, move_cause cause) const {
    const auto& pool = receiver.pool->input;
    if (!permits_zone(pool, vm.zone)) {
        return false;
    }
    if (cause == move_cause::buffer_refill) {
        return true;
    }
    return reduces_shortage(pool, policy_, receiver.capacity, vm);
}

std::size_t move_round::best_vm(const participant& donor, const participant& receiver, move_cause cause,
                                donor_condition condition) const {
    const auto& vms = donor.pool->input.vms;
    const auto spread = [&](const placement_vm& vm) {
        return std::tuple(receiver.capacity.in_zone(vm.zone), receiver.capacity.in_rack(vm.zone, vm.rack),
                          -donor.capacity.in_zone(vm.zone), -donor.capacity.in_rack(vm.zone, vm.rack));
    };
    auto best = vms.size();
    for (std::size_t index = 0; index < vms.size(); ++index) {
        const auto& vm = vms[index];
        if (donor.moved_vm_indexes.contains(index) || !accepts(receiver, vm, cause)) {
            continue;
        }
        // Ties are broken by id, so that the result does not depend on the order of the input. The checks of
        // the donor cost most and come last.
        const auto rank = std::tuple(spread(vm), std::string_view(vm.vm.value()));
        if ((best == vms.size() ||
             rank < std::tuple(spread(vms[best]), std::string_view(vms[best].vm.value()))) &&
            is_removal_permitted(donor, vm) &&
            (condition == donor_condition::has_higher_coverage || keeps_needed_capacity_without(donor, vm))) {
            best = index;
        }
    }
    return best;
}

bool move_round::plan_move_from(participant& donor, participant& receiver, move_cause cause,
                                donor_condition condition) {
    const auto& source = donor.pool->input;
    const auto& target = receiver.pool->input;
    if (&donor == &receiver || !quotas_.permits_move(source.team, target.team)) {
        return false;
    }
    // Also checked for each VM. The check here is for speed: during failures, many donors can give nothing.
    if (donor.size_without_moves <= source.minimum_vms ||
        donor.unavailable.total() >= source.budget.max_unavailable) {
        return false;
    }
    const auto index = best_vm(donor, receiver, cause, condition);
    if (index == source.vms.size()) {
        return false;
    }
    const auto& vm = source.vms[index];
    donor.moved_vm_indexes.insert(index);
    donor.capacity.add(vm, -1);
    donor.unavailable.add(vm, 1);
    --donor.size_without_moves;
    ++donor.moved_vms;
    receiver.capacity.add(vm, 1);
    quotas_.count_move(source.team, target.team);
    moves_.push_back({vm.vm, source.pool, target.pool, cause});
    return true;
}

bool move_round::plan_one_move(participant& receiver, move_cause cause) {
    if (std::cmp_greater_equal(moves_.size(), policy_.maximum_moves_per_round)) {
        return false;
    }
    // A shortage is covered from the shared buffer first and from a surplus of another pool once the buffer
    // is empty. A refill does not take from another spare pool, as that would only move the deficit there.
    if (cause == move_cause::shortage) {
        for (const auto index : spare_pools_) {
            if (plan_move_from(participants_[index], receiver, cause,
                               donor_condition::keeps_needed_capacity)) {
                return true;
            }
        }
    }
    for (const auto index : surplus_donors_) {
        auto& donor = participants_[index];
        if (donor.moved_vms < donor.surplus_vms &&
            plan_move_from(donor, receiver, cause, donor_condition::keeps_needed_capacity)) {
            return true;
        }
    }
    return cause == move_cause::shortage && take_from_highest_coverage(receiver);
}

bool move_round::take_from_highest_coverage(participant& receiver) {
    // Spare capacity for a loss that has not occurred does not justify taking capacity that another pool
    // uses.
    if (!is_below_demand(receiver.pool->input, policy_, receiver.capacity)) {
        return false;
    }
    if (!includes_all_pools_) {
        includes_all_pools_ = true;
        absl::flat_hash_set<const assessed_pool*> entered;
        for (const auto& known : participants_) {
            entered.insert(known.pool);
        }
        for (auto& [name, pool] : pools_) {
            if (!entered.contains(&pool)) {
                participants_.push_back(make_participant(pool));
            }
        }
    }
    // Capacity per sustained demand after adding `change` VMs. The lower bound of the demand gives a pool
    // without demand a high coverage.
    const auto coverage = [](const participant& pool, int change) {
        const auto& input = pool.pool->input;
        return (pool.capacity.total() + change) * input.slots_per_vm / std::max(input.sustained_slots, 0.1);
    };
    std::vector<participant*> donors;
    for (auto& donor : participants_) {
        // An urgent pool gives VMs only to urgent pools. The band prevents two pools from exchanging VMs at
        // each small change of demand.
        if ((!donor.pool->input.urgent || receiver.pool->input.urgent) &&
            coverage(donor, -1) >= coverage(receiver, 1) * (1 + policy_.shrink_band)) {
            donors.push_back(&donor);
        }
    }
    std::stable_sort(donors.begin(), donors.end(), [&](const participant* left, const participant* right) {
        return coverage(*left, 0) > coverage(*right, 0);
    });
    return std::any_of(donors.begin(), donors.end(), [&](participant* donor) {
        return plan_move_from(*donor, receiver, move_cause::shortage, donor_condition::has_higher_coverage);
    });
}

void move_round::fill_shortages() {
    std::vector<std::size_t> waiting;
    for (const auto index : receivers_) {
        auto& receiver = participants_[index];
        if (!receiver.pool->input.urgent) {
            waiting.push_back(index);
            continue;
        }
        while (has_shortage(receiver) && plan_one_move(receiver, move_cause::shortage)) {
        }
    }
    // Each pass plans at most one move per pool, so that the first pool does not use up the buffer.
    while (!waiting.empty()) {
        std::erase_if(waiting, [this](std::size_t index) {
            auto& receiver = participants_[index];
            return !has_shortage(receiver) || !plan_one_move(receiver, move_cause::shortage);
        });
    }
}

void move_round::refill_buffers() {
    for (const auto index : spare_pools_) {
        auto& spare = participants_[index];
        while (spare.capacity.total() < spare.pool->assessment.target_vms &&
               plan_one_move(spare, move_cause::buffer_refill)) {
        }
    }
}

}  // namespace masticpass
