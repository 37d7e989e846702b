// Measures the CPU time that the decisions of the job scheduler take for different numbers of workers.
//
// Usage: jobs_measure [--seed N] [--workers N]...

#include <cstdint>
#include <vector>

#include <CLI/CLI.hpp>

#include "support/job_scheduling_cost.h"

int main(int argc, char** argv) {
    std::uint64_t seed = 1;
    std::vector<int> workers = {49, 350, 1400};
    CLI::App app("Measures the CPU time that the decisions of the job scheduler take.");
    app.add_option("--seed", seed, "seed of the random numbers");
    app.add_option("--workers", workers, "numbers of workers to measure");
    CLI11_PARSE(app, argc, argv);
    masticpass::measure::print_scheduling_cost(workers, seed);
}
