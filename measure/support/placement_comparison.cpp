#include "support/placement_comparison.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <absl/strings/str_format.h>

#include "support/placement_strategies.h"

namespace masticpass::measure {

namespace {

using strategy_factory = std::function<std::unique_ptr<placement_strategy>()>;

const std::vector<placement_deployment>& deployments() {
    // For the co-operative the wait of short work matters most, so its maximum wait is short. For Loomsoft
    // the cost of the buffer and of moves matters most, so it accepts longer waits and more refusals.
    static const std::vector<placement_deployment> all{
        {"co-operative", 5, 3, 64, 20, 0.995},
        {"loomsoft", 5, 3, 64, 40, 0.99},
        {"two-years", 181, 6, 41, 30, 0.995},
    };
    return all;
}

double mean_needed_vms(const demand_trace& trace) {
    double slots = 0;
    for (int service = 0; service < trace.services(); ++service) {
        slots += trace.mean(service);
    }
    return slots / 8;
}

// The largest fleet that is tried, as a multiple of the VMs needed for the mean demand.
constexpr double maximum_fleet_factor = 5;

// The multiples of the mean demand that are tried for the strategies that move VMs.
constexpr double headrooms[] = {1.1, 1.2, 1.35, 1.5, 1.75, 2.0, 2.5, 3.0};

// Finds the smallest fleet that reaches the on-time service by bisection. Returns nullopt if the largest
// fleet does not reach it.
std::optional<placement_result> smallest_fleet(const placement_deployment& deployment,
                                               const demand_trace& trace, double on_time,
                                               const strategy_factory& create) {
    int too_small = static_cast<int>(mean_needed_vms(trace) * 0.8);
    int sufficient = static_cast<int>(mean_needed_vms(trace) * maximum_fleet_factor);
    // For large fleets a tolerance of half a percent of the mean need is sufficient.
    const int tolerance = std::max(1, sufficient / 1000);
    const auto run = [&](int vms) { return simulate(deployment, trace, vms, *create()); };
    auto best = run(sufficient);
    if (best.on_time < on_time) {
        return std::nullopt;
    }
    while (sufficient - too_small > tolerance) {
        const int middle = (too_small + sufficient) / 2;
        const auto result = run(middle);
        if (result.on_time >= on_time) {
            best = result;
            sufficient = middle;
        } else {
            too_small = middle;
        }
    }
    return best;
}

// Runs the searches in several threads. The results are in the order of the searches.
std::vector<std::optional<placement_result>> run_in_threads(
    const std::vector<std::function<std::optional<placement_result>()>>& searches) {
    constexpr int threads = 3;
    std::vector<std::optional<placement_result>> results(searches.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> workers;
    workers.reserve(threads);
    for (int thread = 0; thread < threads; ++thread) {
        workers.emplace_back([&] {
            for (auto index = next++; index < searches.size(); index = next++) {
                results[index] = searches[index]();
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    return results;
}

struct search_result {
    double headroom = 0;
    std::optional<placement_result> run = std::nullopt;
};

using headroom_factory = std::function<std::unique_ptr<placement_strategy>(double)>;

// Finds the headroom with the smallest fleet; among equal fleets, the one with the fewest moves.
search_result best_headroom(const placement_deployment& deployment, const demand_trace& trace, double on_time,
                            const headroom_factory& create) {
    std::vector<std::function<std::optional<placement_result>()>> searches;
    for (const double headroom : headrooms) {
        searches.push_back([&, headroom] {
            return smallest_fleet(deployment, trace, on_time, [&] { return create(headroom); });
        });
    }
    search_result best;
    const auto runs = run_in_threads(searches);
    for (std::size_t index = 0; index < runs.size(); ++index) {
        const auto& run = runs[index];
        if (run &&
            (!best.run || std::pair(run->vms, run->moves) < std::pair(best.run->vms, best.run->moves))) {
            best = {headrooms[index], run};
        }
    }
    return best;
}

// Finds the headroom with the highest on-time service for the largest fleet.
search_result best_on_time_service(const placement_deployment& deployment, const demand_trace& trace,
                                   const headroom_factory& create) {
    const int vms = static_cast<int>(mean_needed_vms(trace) * maximum_fleet_factor);
    search_result best;
    for (const double headroom : headrooms) {
        const auto run = simulate(deployment, trace, vms, *create(headroom));
        if (!best.run || run.on_time > best.run->on_time) {
            best = {headroom, run};
        }
    }
    return best;
}

void print_row(const std::string& strategy, const search_result& result) {
    if (!result.run) {
        absl::PrintF("  %-10s does not reach the required on-time service\n", strategy);
        return;
    }
    absl::PrintF("  %-10s %8.2f %6d %9.4f %8.2f %12.0f %8d\n", strategy, result.headroom, result.run->vms,
                 result.run->on_time, result.run->mean_wait_seconds, result.run->spare_vm_hours,
                 result.run->moves);
}

// Compares the moves of the planned placement with those of the chase strategy that follows the mean demand
// of the last `rounds` rounds. If that strategy does not reach the required on-time service with any fleet,
// both are compared at the highest on-time service that it reaches.
void compare_moves(const placement_deployment& deployment, const demand_trace& trace, const std::string& name,
                   std::size_t rounds, const search_result& planned,
                   const headroom_factory& planned_factory) {
    const auto create = [rounds](double headroom) {
        return std::make_unique<chase_demand>(headroom, rounds);
    };
    auto chase = best_headroom(deployment, trace, deployment.on_time, create);
    auto planned_at_equal_service = planned;
    if (chase.run) {
        print_row(name, chase);
    } else {
        chase = best_on_time_service(deployment, trace, create);
        planned_at_equal_service.run = smallest_fleet(deployment, trace, chase.run->on_time,
                                                      [&] { return planned_factory(planned.headroom); });
        print_row(name + "*", chase);
        print_row("planned*", planned_at_equal_service);
    }
    if (planned_at_equal_service.run) {
        absl::PrintF(
            "  moves of %s per planned move: %.1f (goal 5)\n", name,
            static_cast<double>(chase.run->moves) / std::max(1, planned_at_equal_service.run->moves));
    }
}

void compare_strategies(const placement_deployment& deployment, std::uint64_t seed) {
    const demand_trace trace(deployment, seed);
    absl::PrintF("%s, seed %d, on time at least %.3f, longest wait %.0f s, mean need %.1f VMs\n",
                 deployment.name, seed, deployment.on_time, deployment.maximum_wait_seconds,
                 mean_needed_vms(trace));
    absl::PrintF("  %-10s %8s %6s %9s %8s %12s %8s\n", "strategy", "headroom", "VMs", "on time", "wait s",
                 "spare VM-h", "moves");
    const auto planned_factory = [&](double headroom) {
        return std::make_unique<planned_placement>(deployment, placement_policy{.headroom = headroom});
    };
    const double on_time = deployment.on_time;
    const search_result fixed{
        0, smallest_fleet(deployment, trace, on_time, [] { return std::make_unique<fixed_spare>(); })};
    const search_result ideal{
        0, smallest_fleet(deployment, trace, on_time, [] { return std::make_unique<ideal_spread>(); })};
    const auto planned = best_headroom(deployment, trace, on_time, planned_factory);
    print_row("fixed", fixed);
    print_row("planned", planned);
    print_row("ideal", ideal);
    const auto saved_percent = [&](const search_result& result) {
        return 100 * (1 - result.run->spare_vm_hours / fixed.run->spare_vm_hours);
    };
    if (fixed.run && planned.run && ideal.run) {
        absl::PrintF("  buffer saved over fixed: %.1f%% (goal 30%%); the ideal spread saves %.1f%%\n",
                     saved_percent(planned), saved_percent(ideal));
    }
    compare_moves(deployment, trace, "chase 1", 1, planned, planned_factory);
    compare_moves(deployment, trace, "chase 16", 16, planned, planned_factory);
}

}  // namespace

void print_buffer_and_moves(std::uint64_t first_seed, int seeds, const std::string& only_deployment) {
    absl::PrintF(
        "Spare buffer and moves at equal on-time service, 24 h, one rack and one zone lost.\n"
        "Rows marked * are at the highest on-time service that this chase strategy reaches with any fleet.\n"
        "chase N follows the mean demand of the last N rounds of 60 s.\n");
    for (const auto& deployment : deployments()) {
        for (int index = 0; index < seeds && (only_deployment.empty() || only_deployment == deployment.name);
             ++index) {
            compare_strategies(deployment, first_seed + static_cast<std::uint64_t>(index));
        }
    }
}

}  // namespace masticpass::measure
