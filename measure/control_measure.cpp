#include <exception>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "support/at_most_once_store_calls.h"
#include "support/configuration_spread.h"
#include "support/control_cost.h"

// Runs entry VMs as processes and measures their control cost (part cost), how long a configuration change
// takes until it is in force in all of them (part spread), and the store calls for requests that must not be
// repeated (part once).
int main(int argc, char** argv) {
    CLI::App application("Measures the control cost of entry VMs");
    masticpass::measure::control_options options;
    masticpass::measure::at_most_once_options at_most_once;
    std::string part = "all";
    std::vector<std::string> size_texts = {"50:5", "350:45", "1400:181"};
    std::vector<std::string> spread_texts = {"50:5", "1400:181"};
    int changes = 10;
    application.add_option("masticpass", options.programs.masticpass, "Path of the program masticpass")
        ->required();
    application.add_option("standin", options.programs.standin, "Path of the program masticpass_standin")
        ->required();
    application.add_option("--part", part)->check(CLI::IsMember({"all", "cost", "spread", "once"}));
    application.add_option("--base-port", options.programs.base_port,
                           "First of the loopback ports that are used");
    application.add_option("--entries", options.entries, "Number of entry VMs");
    application.add_option("--seconds", options.seconds, "Duration of each cost measurement in seconds");
    application.add_option("--factor", options.change_factor,
                           "Rate of changes as a multiple of the rate expected in two years");
    application.add_option("--size", size_texts,
                           "Fleet size of a cost measurement as VMs:pools; may be repeated");
    application.add_option("--spread-size", spread_texts,
                           "Fleet size of a spread measurement as VMs:pools; may be repeated");
    application.add_option("--changes", changes,
                           "Number of changes for each fleet size and store delay of the spread part");
    application.add_option("--rate", at_most_once.rate, "Requests per second of the once part");
    application.add_option("--once-seconds", at_most_once.seconds, "Duration of the once part in seconds");
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
