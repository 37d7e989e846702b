#include "support/placement_comparison.h"

#include <functional>
#include <memory>
#include <optional>
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
        {"two years", 181, 6, 41, 30, 0.995},
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

// The smallest fleet that reaches the on-time service, by bisection; nullopt if 4 times the need does not.
std::optional<simulation_result> smallest_fleet(const placement_deployment& deployment,
                                                const demand_trace& trace, const strategy_factory& create) {
    int too_small = static_cast<int>(needed_vms(trace) * 0.8);
    int enough = static_cast<int>(needed_vms(trace) * 4);
    const auto run = [&](int vms) { return simulate(deployment, trace, vms, *create()); };
    auto best = run(enough);
    if (best.on_time < deployment.on_time) {
        return std::nullopt;
    }
    while (enough - too_small > 1) {
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

std::optional<simulation_result> best_chase(const placement_deployment& deployment,
                                            const demand_trace& trace) {
    std::optional<simulation_result> best;
    for (const double headroom : {1.25, 1.5, 1.75, 2.0, 2.5}) {
        const auto result =
            smallest_fleet(deployment, trace, [&] { return std::make_unique<chase_demand>(headroom); });
        if (result && (!best || result->vms < best->vms)) {
            best = result;
        }
    }
    return best;
}

void print_row(const std::string& strategy, const std::optional<simulation_result>& result) {
    if (!result) {
        absl::PrintF("  %-10s does not reach the on-time service\n", strategy);
        return;
    }
    absl::PrintF("  %-10s %6d %9.4f %8.2f %12.0f %8d\n", strategy, result->vms, result->on_time,
                 result->mean_wait_seconds, result->spare_vm_hours, result->moves);
}

}  // namespace

void print_buffer_and_moves(std::uint64_t first_seed, int seeds) {
    absl::PrintF("Spare buffer and moves at equal on-time service, 24 h, one rack and one zone lost\n");
    for (const auto& deployment : deployments()) {
        for (int index = 0; index < seeds; ++index) {
            const auto seed = first_seed + static_cast<std::uint64_t>(index);
            const demand_trace trace(deployment, seed);
            absl::PrintF("%s, seed %d, on time at least %.3f, longest wait %.0f s, mean need %.1f VMs\n",
                         deployment.name, seed, deployment.on_time, deployment.longest_wait_seconds,
                         needed_vms(trace));
            absl::PrintF("  %-10s %6s %9s %8s %12s %8s\n", "strategy", "VMs", "on time", "wait s",
                         "spare VM-h", "moves");
            const auto fixed =
                smallest_fleet(deployment, trace, [] { return std::make_unique<fixed_spare>(); });
            const auto chase = best_chase(deployment, trace);
            const auto planned = smallest_fleet(deployment, trace, [&] {
                return std::make_unique<planned_placement>(deployment, placement_policy{});
            });
            print_row("fixed", fixed);
            print_row("chase", chase);
            print_row("planned", planned);
            if (fixed && planned) {
                absl::PrintF("  buffer saved over fixed: %.1f%% (goal 30%%)\n",
                             100 * (1 - planned->spare_vm_hours / fixed->spare_vm_hours));
            }
            if (chase && planned) {
                absl::PrintF("  moves of chase per planned move: %.1f (goal 5)\n",
                             static_cast<double>(chase->moves) / std::max(1, planned->moves));
            }
        }
    }
}

}  // namespace masticpass::measure
