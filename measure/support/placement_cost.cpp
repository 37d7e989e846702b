#include "support/placement_cost.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <absl/strings/str_format.h>
#include <malloc.h>

#include "decision/placement/demand_tracker.h"
#include "decision/placement/plan_placement.h"

namespace masticpass::measure {

namespace {

using steady = std::chrono::steady_clock;

std::vector<placement_pool> build_pools(int pools, int vms) {
    constexpr int zones = 6;
    std::vector<placement_pool> result(static_cast<std::size_t>(pools));
    for (int index = 0; index < pools; ++index) {
        auto& pool = result[static_cast<std::size_t>(index)];
        pool.pool = pool_name("pool-" + std::to_string(1000 + index));
        pool.team = team_name("team-" + std::to_string(index % 49));
        pool.minimum_vms = 1;
        pool.spare = index == 0;
        pool.buffer_vms = pool.spare ? vms / 20 : 0;
        pool.survive_rack = true;
        pool.budget.max_unavailable = pool.spare ? vms : 2;
        pool.sustained_slots = pool.spare ? 0 : 40;
    }
    for (int index = 0; index < vms; ++index) {
        // One VM in 14 is in the spare pool at the start.
        const int pool = index % 14 == 0 ? 0 : 1 + index % std::max(1, pools - 1);
        const int zone = index % zones;
        result[static_cast<std::size_t>(pool)].vms.push_back(
            {vm_id("vm-" + std::to_string(100'000 + index)), zone_name("zone-" + std::to_string(zone)),
             rack_name("rack-" + std::to_string(index / 4 / zones))});
    }
    return result;
}

void print_times(const std::string& label, std::vector<double>& milliseconds) {
    std::sort(milliseconds.begin(), milliseconds.end());
    absl::PrintF("  %-34s %8.3f %8.3f %8.3f\n", label, milliseconds[milliseconds.size() / 2],
                 milliseconds[milliseconds.size() * 99 / 100], milliseconds.back());
}

// Times 500 rounds of the incremental and of the full computation with the same inputs. In each round,
// `change` modifies some of the pools and returns their indexes.
template <typename Change>
void time_rounds(const std::string& label, std::vector<placement_pool> pools, const Change& change) {
    const placement_policy policy;
    const std::vector<team_quota> quotas;
    placement_planner planner(policy);
    placement_history history;
    auto now = absl::UnixEpoch() + absl::Hours(1);
    for (const auto& pool : pools) {
        planner.update_pool(pool);
    }
    planner.plan(now);
    plan_placement(pools, quotas, policy, history, now);
    std::vector<double> incremental;
    std::vector<double> full;
    std::size_t moves = 0;
    for (int round = 0; round < 500; ++round) {
        now += absl::Minutes(1);
        const auto changed = change(pools, round);
        const auto start = steady::now();
        for (const auto index : changed) {
            planner.update_pool(pools[index]);
        }
        const auto plan = planner.plan(now);
        const auto middle = steady::now();
        const auto full_plan = plan_placement(pools, quotas, policy, history, now);
        const auto end = steady::now();
        moves += plan.moves.size();
        if (plan != full_plan) {
            absl::PrintF("  round %d: the incremental plan differs from the full one\n", round);
        }
        incremental.push_back(std::chrono::duration<double, std::milli>(middle - start).count());
        full.push_back(std::chrono::duration<double, std::milli>(end - middle).count());
    }
    print_times(label + ", incremental", incremental);
    print_times(label + ", full", full);
    absl::PrintF("  %-34s %8d\n", "moves planned in 500 rounds", moves);
}

long allocated_bytes() {
    return static_cast<long>(mallinfo2().uordblks);
}

}  // namespace

void print_decision_time(std::uint64_t seed) {
    absl::PrintF("Time of one decision, 1,400 VMs in 181 pools, 500 rounds, ms\n  %-34s %8s %8s %8s\n",
                 "case", "p50", "p99", "max");
    std::mt19937_64 random(seed);
    time_rounds("8 pools change", build_pools(181, 1400), [&](std::vector<placement_pool>& pools, int) {
        std::vector<std::size_t> changed;
        for (int count = 0; count < 8; ++count) {
            changed.push_back(1 + random() % (pools.size() - 1));
            pools[changed.back()].sustained_slots = 30 + static_cast<double>(random() % 20);
        }
        return changed;
    });
    // The loss of a zone causes a shortage in every pool at once. The moves are not executed, so each round
    // plans them again.
    time_rounds("zone lost, all pools change", build_pools(181, 1400),
                [&](std::vector<placement_pool>& pools, int round) {
                    std::vector<std::size_t> changed;
                    for (std::size_t index = 0; index < pools.size(); ++index) {
                        changed.push_back(index);
                        pools[index].sustained_slots += index > 0 ? (round % 2 == 0 ? 1 : -1) : 0;
                        for (auto& vm : pools[index].vms) {
                            vm.state = vm.zone == zone_name("zone-1") ? placement_vm_state::unavailable
                                                                      : placement_vm_state::serving;
                        }
                    }
                    return changed;
                });
    // The buffer is empty and half of the pools have a shortage, so every donor is tried for every receiver.
    for (const int budget : {0, 2}) {
        auto pools = build_pools(181, 1400);
        pools[0].vms.clear();
        for (std::size_t index = 1; index < pools.size(); ++index) {
            pools[index].sustained_slots = index % 2 == 0 ? 90 : 40;
            pools[index].budget.max_unavailable = budget;
            // With all VMs in one zone, no pool has a lasting surplus beyond the loss that it must survive.
            pools[index].survive_zone = true;
            for (auto& vm : pools[index].vms) {
                vm.zone = zone_name("zone-0");
            }
        }
        time_rounds(absl::StrFormat("no buffer, budget %d", budget), pools,
                    [](std::vector<placement_pool>& changed_pools, int round) {
                        changed_pools[2].sustained_slots = 90 + round % 2;
                        return std::vector<std::size_t>{2};
                    });
    }
}

void print_memory() {
    absl::PrintF("Memory of the demand tracker, bytes\n  %8s %12s %12s\n", "services", "total",
                 "per service");
    for (const int services : {5, 50, 181, 1000}) {
        const auto before = allocated_bytes();
        const auto tracker = std::make_unique<demand_tracker>();
        for (int service = 0; service < services; ++service) {
            tracker->record(service_name("service-" + std::to_string(service)), absl::UnixEpoch(), 1);
        }
        const auto bytes = allocated_bytes() - before;
        absl::PrintF("  %8d %12d %12d\n", services, bytes, bytes / services);
    }
    absl::PrintF("Memory of the planner, bytes\n  %8s %8s %12s %12s\n", "pools", "VMs", "total", "per VM");
    for (const auto& [pools, vms] :
         {std::pair(5, 50), std::pair(45, 350), std::pair(181, 1400), std::pair(362, 2800)}) {
        const auto inputs = build_pools(pools, vms);
        const auto before = allocated_bytes();
        const auto planner = std::make_unique<placement_planner>();
        for (const auto& pool : inputs) {
            planner->update_pool(pool);
        }
        planner->plan(absl::UnixEpoch());
        const auto bytes = allocated_bytes() - before;
        absl::PrintF("  %8d %8d %12d %12d\n", pools, vms, bytes, bytes / vms);
    }
}

}  // namespace masticpass::measure
