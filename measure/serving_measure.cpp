#include <cstdint>
#include <string>

#include <CLI/CLI.hpp>

#include "support/at_most_once_part.h"
#include "support/cost_part.h"
#include "support/scheduling_part.h"

// Measures the serving decisions in a discrete-event simulation. All figures except those of the cost part
// depend only on the seed.
int main(int argc, char** argv) {
    CLI::App application("Measures the serving decisions");
    std::uint64_t seed = 1;
    std::string part = "all";
    double bound_step = 0.25;
    application.add_option("--seed", seed, "Seed of the traces");
    application.add_option("--part", part, "Part to run")
        ->check(CLI::IsMember({"all", "wait", "cause", "worth", "retry", "once", "cost"}));
    application.add_option("--bound-step", bound_step,
                           "Time step in seconds with which the upper bound on worth is computed");
    CLI11_PARSE(application, argc, argv);

    const auto should_run = [&](const std::string& name) { return part == "all" || part == name; };
    if (should_run("wait")) {
        masticpass::measure::measure_short_wait(seed);
    }
    if (should_run("cause")) {
        masticpass::measure::measure_wait_causes(seed);
    }
    if (should_run("worth")) {
        masticpass::measure::measure_worth(seed, bound_step);
    }
    if (should_run("retry")) {
        masticpass::measure::measure_retries(seed);
    }
    if (should_run("once")) {
        masticpass::measure::measure_at_most_once(seed);
    }
    if (should_run("cost")) {
        masticpass::measure::measure_cost(seed);
    }
    return 0;
}
