#include <exception>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "support/at_most_once_store_calls.h"
#include "support/configuration_spread.h"
#include "support/control_cost.h"

// Measures the control costs of entry VMs as processes, the spreading of configuration changes, and the store
// calls of requests that must not be repeated.
int main(int argc, char** argv) {
    CLI::App application("Measures the control costs of entry VMs");
    masticpass::measure::control_options options;
    masticpass::measure::at_most_once_options at_most_once;
    std::string part = "all";
    std::vector<std::string> size_texts = {"50:5", "350:45", "1400:181"};
    std::vector<std::string> spread_texts = {"50:5", "1400:181"};
    int changes = 10;
    application.add_option("masticpass", options.programs.masticpass, "Path of masticpass")->required();
    application.add_option("standin", options.programs.standin, "Path of masticpass_standin")->required();
    application.add_option("--part", part)->check(CLI::IsMember({"all", "cost", "spread", "once"}));
    application.add_option("--base-port", options.programs.base_port, "First of the loopback ports used");
    application.add_option("--entries", options.entries, "Entry VMs");
    application.add_option("--seconds", options.seconds, "Length of each cost measurement");
    application.add_option("--factor", options.change_factor, "Speed of changes against the two-year rate");
    application.add_option("--size", size_texts, "VMs:pools of a cost measurement; may be repeated");
    application.add_option("--spread-size", spread_texts,
                           "VMs:pools of a spread measurement; may be repeated");
    application.add_option("--changes", changes, "Changes of a spread measurement");
    application.add_option("--rate", at_most_once.rate, "Requests per second of the once measurement");
    application.add_option("--once-seconds", at_most_once.seconds, "Length of the once measurement");
    application.add_option("--seed", at_most_once.seed);
    CLI11_PARSE(application, argc, argv);

    const auto should_run = [&](const std::string& name) { return part == "all" || part == name; };
    try {
        if (should_run("cost")) {
            masticpass::measure::measure_control_cost(options, masticpass::measure::parse_sizes(size_texts));
        }
        if (should_run("spread")) {
            masticpass::measure::measure_configuration_spread(
                options, masticpass::measure::parse_sizes(spread_texts), changes);
        }
        if (should_run("once")) {
            masticpass::measure::measure_at_most_once_store_calls(options.programs, at_most_once);
        }
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}
