// Compares the placement decision with two baselines: a fixed number of spare VMs in each pool, and moves
// that follow the demand in every round. Also measures the time and memory of the decision.
//
// Usage: placement_measure [--seed N] [--seeds N] [--section buffer|time|memory] [--deployment NAME]

#include <cstdint>
#include <string>

#include <CLI/CLI.hpp>

#include "support/placement_comparison.h"
#include "support/placement_cost.h"

int main(int argc, char** argv) {
    std::uint64_t first_seed = 1;
    int seeds = 3;
    std::string section;
    std::string deployment;
    CLI::App app("Measures the spare VMs and moves, the time and the memory of the placement decision.");
    app.add_option("--seed", first_seed, "seed of the first demand trace");
    app.add_option("--seeds", seeds, "number of consecutive seeds to run");
    app.add_option("--section", section, "section to run: buffer, time or memory; all if absent");
    app.add_option("--deployment", deployment,
                   "deployment of section buffer: co-operative, loomsoft or two-years; all if absent");
    CLI11_PARSE(app, argc, argv);
    if (section.empty() || section == "buffer") {
        masticpass::measure::print_buffer_and_moves(first_seed, seeds, deployment);
    }
    if (section.empty() || section == "time") {
        masticpass::measure::print_decision_time(first_seed);
    }
    if (section.empty() || section == "memory") {
        masticpass::measure::print_memory();
    }
}
