#include "support/placement_comparison.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/str_format.h>

#include "support/placement_strategies.h"

namespace masticpass::measure {

namespace {

using strategy_factory = std::function<std::unique_ptr<placement_strategy>()>;

const std::vector<placement_deployment>& deployments() {
    // The co-operative weights the wait of short work most, so its wait is bounded closely; Loomsoft weights
    // the cost of buffer and moves and accepts more wait and more refusals.
    static const std::vector<placement_deployment> all{
        {"co-operative", 5, 3, 64, 20, 0.995},
        {"loomsoft", 5, 3, 64, 40, 0.99},
        {"two-years", 181, 6, 41, 30, 0.995},
    };
    return all;
}

double needed_vms(const demand_trace& trace) {
    double slots = 0;
    for (int service = 0; service < trace.services(); ++service) {
        slots += trace.mean(service);
    }
    return slots / 8;
}

// The smallest fleet that reaches the on-time service, by bisection; nullopt if 5 times the need does not.
std::optional<simulation_result> smallest_fleet(const placement_deployment& deployment,
                                                const demand_trace& trace, const strategy_factory& create) {
    int too_small = static_cast<int>(needed_vms(trace) * 0.8);
    int enough = static_cast<int>(needed_vms(trace) * 5);
    const auto run = [&](int vms) { return simulate(deployment, trace, vms, *create()); };
    auto best = run(enough);
    if (best.on_time < deployment.on_time) {
        return std::nullopt;
    }
    // At the two-year size a thousandth of the fleet is close enough.
    const int tolerance = std::max(1, enough / 4000);
    while (enough - too_small > tolerance) {
        const int middle = (too_small + enough) / 2;
        const auto result = run(middle);
        if (result.on_time >= deployment.on_time) {
            best = result;
            enough = middle;
        } else {
            too_small = middle;
        }
    }
    return best;
}

struct search_result {
    double headroom = 0;
    std::optional<simulation_result> run = std::nullopt;
};

// The smallest fleet over all headrooms, and of equal fleets the one with the fewest moves.
search_result best_headroom(const placement_deployment& deployment, const demand_trace& trace,
                            const std::function<std::unique_ptr<placement_strategy>(double)>& create) {
    search_result best;
    for (const double headroom : {1.1, 1.2, 1.3, 1.4, 1.5, 1.6, 1.8, 2.0, 2.25, 2.5, 3.0, 4.0}) {
        const auto run = smallest_fleet(deployment, trace, [&] { return create(headroom); });
        if (run &&
            (!best.run || std::pair(run->vms, run->moves) < std::pair(best.run->vms, best.run->moves))) {
            best = {headroom, run};
        }
    }
    return best;
}

void print_row(const std::string& strategy, const search_result& result) {
    if (!result.run) {
        absl::PrintF("  %-10s does not reach the on-time service\n", strategy);
        return;
    }
    absl::PrintF("  %-10s %8.2f %6d %9.4f %8.2f %12.0f %8d\n", strategy, result.headroom, result.run->vms,
                 result.run->on_time, result.run->mean_wait_seconds, result.run->spare_vm_hours,
                 result.run->moves);
}

void compare(const placement_deployment& deployment, std::uint64_t seed) {
    const demand_trace trace(deployment, seed);
    absl::PrintF("%s, seed %d, on time at least %.3f, longest wait %.0f s, mean need %.1f VMs\n",
                 deployment.name, seed, deployment.on_time, deployment.longest_wait_seconds,
                 needed_vms(trace));
    absl::PrintF("  %-10s %8s %6s %9s %8s %12s %8s\n", "strategy", "headroom", "VMs", "on time", "wait s",
                 "spare VM-h", "moves");
    const search_result fixed{
        0, smallest_fleet(deployment, trace, [] { return std::make_unique<fixed_spare>(); })};
    const auto chase = best_headroom(
        deployment, trace, [](double headroom) { return std::make_unique<chase_demand>(headroom); });
    const auto planned = best_headroom(deployment, trace, [&](double headroom) {
        return std::make_unique<planned_placement>(deployment, placement_policy{.headroom = headroom});
    });
    print_row("fixed", fixed);
    print_row("chase", chase);
    print_row("planned", planned);
    if (fixed.run && planned.run) {
        absl::PrintF("  buffer saved over fixed: %.1f%% (goal 30%%)\n",
                     100 * (1 - planned.run->spare_vm_hours / fixed.run->spare_vm_hours));
    }
    if (chase.run && planned.run) {
        absl::PrintF("  moves of chase per planned move: %.1f (goal 5)\n",
                     static_cast<double>(chase.run->moves) / std::max(1, planned.run->moves));
    }
}

}  // namespace

void print_buffer_and_moves(std::uint64_t first_seed, int seeds, const std::string& only) {
    absl::PrintF("Spare buffer and moves at equal on-time service, 24 h, one rack and one zone lost\n");
    for (const auto& deployment : deployments()) {
        for (int index = 0; index < seeds && (only.empty() || only == deployment.name); ++index) {
            compare(deployment, first_seed + static_cast<std::uint64_t>(index));
        }
    }
}

}  // namespace masticpass::measure
