#include "decision/placement/random_schedule.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "decision/placement/placement_fixture.h"

namespace masticpass {

namespace {

constexpr int busy_rounds = 24;
// The maximum number of rounds without new events until the fleet no longer changes.
constexpr int quiet_rounds = 300;
// The number of rounds of 10 min without a change after which every timer has expired.
constexpr int stable_rounds = 4;

int count_state(const placement_pool& pool, placement_vm_state state) {
    return static_cast<int>(std::count_if(pool.vms.begin(), pool.vms.end(),
                                          [state](const placement_vm& vm) { return vm.state == state; }));
}

bool uses_budget(const placement_vm& vm) {
    return vm.state == placement_vm_state::unavailable || vm.state == placement_vm_state::moving_out;
}

// By how much a pool exceeds each limit of its budget, computed independently of the code under test.
std::vector<int> excess_of(const placement_pool& pool) {
    std::map<std::string, int> zones;
    std::map<std::string, int> racks;
    int unavailable = 0;
    for (const auto& vm : pool.vms) {
        if (uses_budget(vm)) {
            ++unavailable;
            ++zones[vm.zone.value()];
            ++racks[vm.rack.value()];
        }
    }
    int most_in_zone = 0;
    int most_in_rack = 0;
    for (const auto& [zone, count] : zones) {
        most_in_zone = std::max(most_in_zone, count);
    }
    for (const auto& [rack, count] : racks) {
        most_in_rack = std::max(most_in_rack, count);
    }
    const auto& budget = pool.budget;
    constexpr int no_limit = 1000;
    return {unavailable - budget.max_unavailable,
            most_in_zone - budget.max_unavailable_per_zone.value_or(no_limit),
            most_in_rack - budget.max_unavailable_per_rack.value_or(no_limit),
            static_cast<int>(zones.size()) - budget.max_zones_unavailable.value_or(no_limit),
            static_cast<int>(racks.size()) - budget.max_racks_unavailable.value_or(no_limit)};
}

int size_without_moving_vms(const placement_pool& pool) {
    return count_state(pool, placement_vm_state::serving) +
           count_state(pool, placement_vm_state::unavailable);
}

// The number of VMs that serve or move in, without those of the lost zone or rack.
int remaining(const placement_pool& pool, const std::string& lost) {
    return static_cast<int>(std::count_if(pool.vms.begin(), pool.vms.end(), [&](const placement_vm& vm) {
        return !uses_budget(vm) && vm.zone.value() != lost && vm.rack.value() != lost;
    }));
}

// The first VM whose zone or rack the pool must survive the loss of but cannot; null if there is none.
const placement_vm* unsurvived_loss(const placement_pool& pool) {
    const int needed = static_cast<int>(std::ceil(pool.sustained_slots / pool.slots_per_vm));
    const auto found = std::find_if(pool.vms.begin(), pool.vms.end(), [&](const placement_vm& vm) {
        return (pool.survive_zone && remaining(pool, vm.zone.value()) < needed) ||
               (pool.survive_rack && remaining(pool, vm.rack.value()) < needed);
    });
    return found == pool.vms.end() ? nullptr : &*found;
}

}  // namespace

random_schedule::random_schedule(std::uint64_t seed, injected_fault fault) : random_(seed), fault_(fault) {
    build_fleet();
    planner_ = placement_planner(policy_);
    planner_.set_quotas(quotas_);
}

std::string random_schedule::run() {
    for (int round = 0; round < busy_rounds && violation_.empty(); ++round) {
        now_ += absl::Minutes(random_between(1, 4));
        advance_vms();
        change_inputs();
        run_round();
    }
    int unchanged_rounds = 0;
    for (int round = 0; round < quiet_rounds && violation_.empty(); ++round) {
        now_ += absl::Minutes(10);
        const auto before = pools_;
        advance_vms();
        run_round();
        unchanged_rounds = pools_ == before && all_vms_serve() ? unchanged_rounds + 1 : 0;
        if (unchanged_rounds == stable_rounds) {
            check_losses();
            return violation_;
        }
    }
    expect(false, "moves end without new events");
    return violation_;
}

void random_schedule::run_round() {
    auto plan = plan_and_compare();
    inject_fault(plan);
    check_and_apply(plan);
}

bool random_schedule::all_vms_serve() const {
    return std::all_of(pools_.begin(), pools_.end(), [](const placement_pool& pool) {
        return count_state(pool, placement_vm_state::serving) == std::ssize(pool.vms);
    });
}

int random_schedule::random_between(int low, int high) {
    return low + static_cast<int>(random_() % static_cast<std::uint64_t>(high - low + 1));
}

placement_pool& random_schedule::find_pool(const pool_name& name) {
    return *std::find_if(pools_.begin(), pools_.end(),
                         [&](const placement_pool& pool) { return pool.pool == name; });
}

void random_schedule::build_fleet() {
    policy_.maximum_moves_per_round = random_between(1, 6);
    quotas_ = {{team_name("x"), random_between(8, 30)}, {team_name("y"), random_between(8, 30)}};
    const int pools = random_between(3, 6);
    const int racks = random_between(2, 6);
    for (int index = 0; index < pools; ++index) {
        auto pool = make_pool("p" + std::to_string(index), index == 0 ? 0 : random_between(0, 40));
        pool.spare = index == 0;
        pool.buffer_vms = pool.spare ? random_between(0, 4) : 0;
        pool.team = team_name(index % 2 == 0 ? "x" : "y");
        pool.minimum_vms = random_between(0, 3);
        pool.urgent = random_between(0, 3) == 0;
        pool.survive_rack = !pool.spare && random_between(0, 1) == 0;
        pool.survive_zone = !pool.spare && random_between(0, 2) == 0;
        pool.budget.max_unavailable = random_between(1, 6);
        if (random_between(0, 2) == 0) {
            pool.budget.max_unavailable_per_zone = random_between(1, 3);
            pool.budget.max_racks_unavailable = random_between(1, 4);
        }
        if (random_between(0, 2) == 0) {
            pool.budget.max_unavailable_per_rack = random_between(1, 2);
            pool.budget.max_zones_unavailable = random_between(1, 3);
        }
        for (int vm = random_between(0, 9); vm > 0; --vm) {
            const std::string zone(1, static_cast<char>('a' + random_between(0, 2)));
            pool.vms.push_back({vm_id(pool.pool.value() + "-" + std::to_string(vm)), zone_name(zone),
                                rack_name(zone + std::to_string(random_between(1, racks))),
                                placement_vm_state::serving, random_between(0, 9) > 0});
        }
        pools_.push_back(std::move(pool));
    }
}

// VMs return to service, and moves complete or are cancelled, as the agents would show it in the next inputs.
void random_schedule::advance_vms() {
    for (auto& pool : pools_) {
        for (std::size_t index = 0; index < pool.vms.size(); ++index) {
            const auto vm = pool.vms[index];
            if (vm.state == placement_vm_state::unavailable && random_between(0, 3) == 0) {
                pool.vms[index].state = placement_vm_state::serving;
            }
            if (vm.state != placement_vm_state::moving_out || random_between(0, 2) == 0) {
                continue;
            }
            const bool given_up = random_between(0, 9) == 0;
            for (auto& target : pools_) {
                const auto incoming =
                    std::find_if(target.vms.begin(), target.vms.end(), [&](const auto& other) {
                        return other.vm == vm.vm && other.state == placement_vm_state::incoming;
                    });
                if (incoming != target.vms.end()) {
                    given_up ? void(target.vms.erase(incoming))
                             : void(incoming->state = placement_vm_state::serving);
                }
            }
            if (given_up) {
                pool.vms[index].state = placement_vm_state::serving;
                last_moves_.erase(vm.vm.value());
            } else {
                pool.vms.erase(pool.vms.begin() + static_cast<std::ptrdiff_t>(index--));
            }
        }
    }
}

void random_schedule::change_inputs() {
    const int event = random_between(0, 11);
    const std::string zone(1, static_cast<char>('a' + random_between(0, 2)));
    const std::string lost = event == 0 ? zone : zone + std::to_string(random_between(1, 6));
    for (auto& pool : pools_) {
        if (!pool.spare && random_between(0, 7) == 0) {
            pool.sustained_slots = random_between(0, 40);
        }
        for (auto& vm : pool.vms) {
            const bool in_lost_domain = event <= 1 && (vm.zone.value() == lost || vm.rack.value() == lost);
            if (vm.state == placement_vm_state::serving && (in_lost_domain || random_between(0, 60) == 0)) {
                vm.state = placement_vm_state::unavailable;
            }
        }
    }
}

placement_plan random_schedule::plan_and_compare() {
    for (const auto& pool : pools_) {
        if (fault_ != injected_fault::changed_pool_not_assessed || random_between(0, 2) > 0) {
            planner_.update_pool(pool);
        }
    }
    auto plan = planner_.plan(now_);
    expect(plan == plan_placement(pools_, quotas_, policy_, history_, now_),
           "incremental result equals full");
    return plan;
}

void random_schedule::inject_fault(placement_plan& plan) {
    if (fault_ == injected_fault::no_moves) {
        plan.moves.clear();
    }
    if (fault_ == injected_fault::second_target_for_a_vm && !plan.moves.empty()) {
        auto move = plan.moves.front();
        move.to = move.to == pools_[1].pool ? pools_[2].pool : pools_[1].pool;
        plan.moves.push_back(move);
    }
    if (fault_ == injected_fault::vm_moved_back) {
        for (const auto& vm : pools_[0].vms) {
            const auto found = last_moves_.find(vm.vm.value());
            if (vm.state == placement_vm_state::serving && found != last_moves_.end()) {
                plan.moves = {{vm.vm, pools_[0].pool, found->second.from, move_cause::buffer_refill}};
                return;
            }
        }
    }
    const bool moves_all = fault_ == injected_fault::minimum_ignored ||
                           fault_ == injected_fault::budget_ignored ||
                           fault_ == injected_fault::quota_ignored;
    if (!moves_all || random_between(0, 3) > 0) {
        return;
    }
    plan.moves.clear();
    for (const auto& vm : pools_[0].vms) {
        if (vm.state == placement_vm_state::serving) {
            plan.moves.push_back({vm.vm, pools_[0].pool, pools_[1].pool, move_cause::shortage});
        }
    }
}

void random_schedule::check_and_apply(const placement_plan& plan) {
    expect(std::cmp_less_equal(plan.moves.size(), policy_.maximum_moves_per_round) ||
               fault_ != injected_fault::none,
           "bounded moves");
    const auto before = pools_;
    for (const auto& move : plan.moves) {
        auto& from = find_pool(move.from);
        auto& to = find_pool(move.to);
        const auto vm = std::find_if(from.vms.begin(), from.vms.end(),
                                     [&](const placement_vm& candidate) { return candidate.vm == move.vm; });
        const bool free = vm != from.vms.end() && vm->state == placement_vm_state::serving;
        expect(free, "a VM in one pool");
        if (!free) {
            return;
        }
        expect(vm->movable || fault_ != injected_fault::none, "immovable VMs stay");
        check_move_back(move, to);
        auto incoming = *vm;
        vm->state = placement_vm_state::moving_out;
        incoming.state = placement_vm_state::incoming;
        to.vms.push_back(std::move(incoming));
        last_moves_[move.vm.value()] = {move.from, now_};
    }
    for (std::size_t index = 0; index < pools_.size(); ++index) {
        check_donor(before[index], pools_[index]);
    }
    check_quotas(before);
}

// Within `minimum_surplus_duration` a VM returns only if the receiver cannot serve its demand or survive a
// declared loss.
void random_schedule::check_move_back(const planned_move& move, const placement_pool& to) {
    const auto last = last_moves_.find(move.vm.value());
    const bool returns_early = last != last_moves_.end() && last->second.from == move.to &&
                               now_ - last->second.at < policy_.minimum_surplus_duration;
    const double needed = to.sustained_slots * policy_.headroom / to.slots_per_vm;
    const bool has_shortage =
        remaining(to, "") < std::max<double>(needed, to.minimum_vms) || unsurvived_loss(to) != nullptr;
    expect(!returns_early || (move.cause == move_cause::shortage && has_shortage), "no oscillation");
}

void random_schedule::check_donor(const placement_pool& before, const placement_pool& after) {
    if (size_without_moving_vms(after) < size_without_moving_vms(before)) {
        expect(size_without_moving_vms(after) >= after.minimum_vms, "minimum kept");
    }
    const auto excess_before = excess_of(before);
    const auto excess_after = excess_of(after);
    for (std::size_t index = 0; index < excess_after.size(); ++index) {
        expect(excess_after[index] <= 0 || excess_after[index] <= excess_before[index], "budget kept");
    }
}

void random_schedule::check_quotas(const std::vector<placement_pool>& before) {
    for (const auto& quota : quotas_) {
        std::set<std::string> vms_before;
        std::set<std::string> vms_after;
        for (std::size_t index = 0; index < pools_.size(); ++index) {
            if (pools_[index].team == quota.team) {
                std::transform(before[index].vms.begin(), before[index].vms.end(),
                               std::inserter(vms_before, vms_before.end()),
                               [](const placement_vm& vm) { return vm.vm.value(); });
                std::transform(pools_[index].vms.begin(), pools_[index].vms.end(),
                               std::inserter(vms_after, vms_after.end()),
                               [](const placement_vm& vm) { return vm.vm.value(); });
            }
        }
        expect(
            std::cmp_less_equal(vms_after.size(), quota.quota_vms) || vms_after.size() <= vms_before.size(),
            "quota kept");
    }
}

// At the end nothing has changed for longer than every timer. If a pool still cannot survive a declared loss,
// no VM of the spare pool may be able to move to it.
void random_schedule::check_losses() {
    const auto& spare = pools_.front();
    for (const auto& pool : pools_) {
        const auto* lost = unsurvived_loss(pool);
        for (std::size_t index = 0; lost != nullptr && index < spare.vms.size(); ++index) {
            expect(spare.vms[index].zone == lost->zone || !can_leave_spare_pool(index, pool),
                   "loss survived");
        }
    }
}

bool random_schedule::can_leave_spare_pool(std::size_t index, const placement_pool& to) const {
    auto spare = pools_.front();
    auto& vm = spare.vms[index];
    if (!vm.movable || vm.state != placement_vm_state::serving) {
        return false;
    }
    vm.state = placement_vm_state::moving_out;
    const auto excess = excess_of(spare);
    if (size_without_moving_vms(spare) < spare.minimum_vms ||
        std::any_of(excess.begin(), excess.end(), [](int value) { return value > 0; })) {
        return false;
    }
    int used = 0;
    for (const auto& pool : pools_) {
        used += pool.team == to.team ? static_cast<int>(pool.vms.size()) : 0;
    }
    return spare.team == to.team || std::any_of(quotas_.begin(), quotas_.end(), [&](const team_quota& quota) {
               return quota.team == to.team && used < quota.quota_vms;
           });
}

void random_schedule::expect(bool holds, const std::string& invariant) {
    if (!holds && violation_.empty()) {
        violation_ = invariant;
    }
}

}  // namespace masticpass
