#include "decision/placement/plan_placement.h"

#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

#include "decision/placement/placement_fixture.h"

namespace masticpass {

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

// The moves that are planned once shortages and surpluses have lasted long enough.
std::vector<planned_move> moves_after_minimum_durations(const std::vector<placement_pool>& pools,
                                                        const std::vector<team_quota>& quotas = {},
                                                        const placement_policy& policy = {}) {
    placement_history history;
    plan_placement(pools, quotas, policy, history, start);
    return plan_placement(pools, quotas, policy, history, start + policy.minimum_surplus_duration).moves;
}

int moves_to(const std::vector<planned_move>& moves, const std::string& pool) {
    return static_cast<int>(std::count_if(
        moves.begin(), moves.end(), [&](const planned_move& move) { return move.to == pool_name(pool); }));
}

}  // namespace

// Guards against a move for a shortage that ends before the VM arrives.
TEST_CASE("a shortage leads to moves only after it has lasted longer than a move takes") {
    auto pool = make_pool("short", 32);
    add_vms(pool, "a", 4);
    const std::vector pools{pool, make_spare(5)};
    const placement_policy policy;
    placement_history history;
    CHECK(plan_placement(pools, {}, policy, history, start).moves.empty());
    const auto early = start + policy.minimum_shortage_duration - absl::Seconds(1);
    CHECK(plan_placement(pools, {}, policy, history, early).moves.empty());
    // 32 slots with a headroom of 1.25 need 5 VMs.
    CHECK(plan_placement(pools, {}, policy, history, start + policy.minimum_shortage_duration).moves.size() ==
          1);
}

// Guards against pools that shrink and grow again at each small change of demand.
TEST_CASE("a surplus moves to the spare pool only after it has lasted and only up to the buffer") {
    auto pool = make_pool("idle", 8);
    add_vms(pool, "a", 8);
    auto spare = make_spare(0);
    spare.buffer_vms = 3;
    const std::vector pools{pool, spare};
    const placement_policy policy;
    placement_history history;
    plan_placement(pools, {}, policy, history, start);
    const auto early = start + policy.minimum_surplus_duration - absl::Seconds(1);
    CHECK(plan_placement(pools, {}, policy, history, early).moves.empty());
    const auto moves =
        plan_placement(pools, {}, policy, history, start + policy.minimum_surplus_duration).moves;
    CHECK(moves_to(moves, "spare") == 3);
    CHECK(moves.front().cause == move_cause::buffer_refill);
}

TEST_CASE("a surplus within the shrink band is not moved") {
    auto pool = make_pool("steady", 61);
    // 61 slots need 10 VMs, and 11 with the shrink band.
    add_vms(pool, "a", 11);
    auto spare = make_spare(0);
    spare.buffer_vms = 3;
    CHECK(moves_after_minimum_durations({pool, spare}).empty());
}

TEST_CASE("a round plans at most the declared number of moves") {
    auto pool = make_pool("short", 200);
    const placement_policy policy{.maximum_moves_per_round = 4};
    CHECK(moves_after_minimum_durations({pool, make_spare(30)}, {}, policy).size() == 4);
}

// Guards against a donor that loses more VMs than its minimum or its budget permits.
TEST_CASE("a donor keeps its minimum and its budget") {
    auto pool = make_pool("short", 200);
    auto donor = make_spare(9);
    SUBCASE("minimum") {
        donor.minimum_vms = 7;
        CHECK(moves_after_minimum_durations({pool, donor}).size() == 2);
    }
    SUBCASE("budget with VMs that are already unavailable") {
        donor.budget.max_unavailable = 3;
        donor.vms[0].state = placement_vm_state::unavailable;
        donor.vms[1].state = placement_vm_state::moving_out;
        CHECK(moves_after_minimum_durations({pool, donor}).size() == 1);
    }
    SUBCASE("budget per zone") {
        donor.budget.max_unavailable_per_zone = 1;
        CHECK(moves_after_minimum_durations({pool, donor}).size() == 3);
    }
    SUBCASE("budget per rack") {
        for (auto& vm : donor.vms) {
            vm.rack = rack_name("shared");
        }
        donor.budget.max_unavailable_per_rack = 2;
        CHECK(moves_after_minimum_durations({pool, donor}).size() == 6);
    }
    SUBCASE("number of zones and racks") {
        donor.budget.max_zones_unavailable = 2;
        donor.budget.max_racks_unavailable = 5;
        CHECK(moves_after_minimum_durations({pool, donor}).size() == 5);
    }
    SUBCASE("VMs that must stay") {
        for (std::size_t index = 0; index < 7; ++index) {
            donor.vms[index].movable = false;
        }
        CHECK(moves_after_minimum_durations({pool, donor}).size() == 2);
    }
}

TEST_CASE("a team's quota bounds the moves into its pools") {
    auto pool = make_pool("short", 200);
    pool.team = team_name("bounded");
    add_vms(pool, "a", 2);
    CHECK(moves_after_minimum_durations({pool, make_spare(9)}, {{team_name("bounded"), 5}}).size() == 3);
}

// Guards against a lost rack or zone that leaves too few VMs for the sustained demand.
TEST_CASE("the target size includes capacity for the declared losses") {
    const placement_policy policy;
    auto pool = make_pool("pool", 48);
    pool.zones = {zone_name("a"), zone_name("b"), zone_name("c")};
    // 48 slots need 8 VMs, and 6 must remain after a loss.
    CHECK(assess_pool(pool, policy).target_vms == 8);
    pool.survive_zone = true;
    CHECK(assess_pool(pool, policy).target_vms == 9);
    pool.sustained_slots = 16;
    pool.survive_zone = false;
    pool.survive_rack = true;
    CHECK(assess_pool(pool, policy).target_vms == 3);
}

TEST_CASE("VMs in the largest zone do not count as capacity after its loss") {
    auto pool = make_pool("pool", 48);
    pool.survive_zone = true;
    add_vms(pool, "a", 9);
    CHECK(assess_pool(pool, placement_policy{}).shortage_vms == 6);
    const auto moves = moves_after_minimum_durations({pool, make_spare(9)});
    REQUIRE(moves.size() == 6);
    for (const auto& move : moves) {
        // VM 0, 3 and 6 of the spare pool are in zone a.
        CHECK(move.vm != vm_id("spare-0"));
        CHECK(move.vm != vm_id("spare-3"));
        CHECK(move.vm != vm_id("spare-6"));
    }
}

TEST_CASE("a move goes from the fullest zone of the donor to the emptiest of the receiver") {
    auto pool = make_pool("short", 24);
    add_vms(pool, "a", 2);
    add_vms(pool, "b", 1);
    const auto moves = moves_after_minimum_durations({pool, make_spare(3)});
    REQUIRE(moves.size() == 1);
    CHECK(moves.front().vm == vm_id("spare-2"));
}

TEST_CASE("a pool receives VMs of its declared zones only") {
    auto pool = make_pool("short", 80);
    pool.zones = {zone_name("b")};
    CHECK(moves_after_minimum_durations({pool, make_spare(9)}).size() == 3);
}

// Guards against urgent pools that get no VMs because other pools use up the buffer.
TEST_CASE("urgent pools are served first and the others share the rest") {
    auto urgent = make_pool("urgent", 16);
    urgent.urgent = true;
    const auto first = make_pool("first", 80);
    const auto second = make_pool("second", 80);
    const auto moves = moves_after_minimum_durations({first, second, urgent, make_spare(7)});
    REQUIRE(moves.size() == 7);
    CHECK(moves[2].to == pool_name("urgent"));
    CHECK(moves_to(moves, "urgent") == 3);
    CHECK(moves_to(moves, "first") == 2);
    CHECK(moves_to(moves, "second") == 2);
}

// Guards against planning another move for the same shortage in each round until the VM arrives.
TEST_CASE("a VM that is moving in counts as capacity") {
    auto pool = make_pool("short", 32);
    add_vms(pool, "a", 5);
    pool.vms.back().state = placement_vm_state::incoming;
    CHECK(moves_after_minimum_durations({pool, make_spare(5)}).empty());
}

TEST_CASE("without a buffer a lasting surplus of another pool covers a shortage") {
    auto idle = make_pool("idle", 8);
    add_vms(idle, "a", 8);
    const auto moves = moves_after_minimum_durations({make_pool("short", 16), idle, make_spare(0)});
    CHECK(moves_to(moves, "short") == 3);
}

// Guards against a pool that keeps its VMs while another one with less capacity for its demand refuses
// requests.
TEST_CASE(
    "without a buffer or surplus the pool with the highest coverage gives VMs until the coverage is equal") {
    auto worst = make_pool("worst", 48);
    add_vms(worst, "a", 4);
    auto better = make_pool("better", 48);
    add_vms(better, "b", 7);
    SUBCASE("one VM makes them equal within the band") {
        CHECK(moves_to(moves_after_minimum_durations({worst, better}), "worst") == 1);
    }
    SUBCASE("an urgent pool gives nothing to other pools") {
        better.urgent = true;
        CHECK(moves_after_minimum_durations({worst, better}).empty());
    }
    SUBCASE("capacity for a loss is not taken from a pool that uses its VMs") {
        // Neither pool survives the loss of its only zone, and the second has the higher coverage.
        worst.sustained_slots = 16;
        worst.survive_zone = true;
        better.sustained_slots = 8;
        better.survive_zone = true;
        CHECK(assess_pool(worst, placement_policy{}).shortage_vms == 2);
        CHECK(moves_after_minimum_durations({worst, better}).empty());
    }
}

TEST_CASE("demand is split into current slots, sustained shortfall and bursts") {
    auto pool = make_pool("pool", 48);
    add_vms(pool, "a", 5);
    const auto split = split_demand(pool, 200);
    CHECK(split.served_slots == 40);
    CHECK(split.shortfall_slots == 8);
    CHECK(split.burst_slots == 152);
}

TEST_CASE("only pools with changed inputs are assessed again") {
    placement_planner planner;
    auto pool = make_pool("pool", 8);
    planner.update_pool(pool);
    planner.update_pool(make_spare(3));
    planner.plan(start);
    CHECK(planner.reassessed_pools() == 2);
    planner.update_pool(pool);
    planner.plan(start);
    CHECK(planner.reassessed_pools() == 0);
    pool.sustained_slots = 9;
    planner.update_pool(pool);
    planner.plan(start);
    CHECK(planner.reassessed_pools() == 1);
}

}  // namespace masticpass
