#include <exception>
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>
#include <absl/strings/str_format.h>

#include "support/process_fleet.h"
#include "support/request_pacer.h"
#include "support/table.h"

namespace masticpass::measure {

namespace {

constexpr int backend_port_offset = 200;

struct overhead_options {
    fleet_programs programs;
    double rate = 1000.0;
    int connections = 16;
    int rounds = 4;
    int seconds = 4;
    std::uint64_t seed = 1;
};

void append(std::vector<double>& all, const std::vector<double>& more) {
    all.insert(all.end(), more.begin(), more.end());
}

std::string format_milliseconds(double value) {
    return absl::StrFormat("%.3f", value);
}

void add_row(table& rows, const std::string& name, const std::vector<double>& direct,
             const std::vector<double>& forwarded) {
    for (const auto& [label, share] : {std::pair{" p50", 0.5}, std::pair{" p99", 0.99}}) {
        const double direct_time = percentile(direct, share);
        const double forwarded_time = percentile(forwarded, share);
        rows.add({name + label, format_milliseconds(direct_time), format_milliseconds(forwarded_time),
                  format_milliseconds(forwarded_time - direct_time)});
    }
}

// Each round sends direct requests and then requests through the entry VM, so that other load on the machine
// affects both alike.
void measure_overhead(const overhead_options& options) {
    fleet_options setup;
    setup.fleet.vms = 1;
    setup.fleet.pools = 1;
    setup.fleet.zones = 1;
    setup.fleet.first_backend_port = options.programs.base_port + backend_port_offset;
    setup.backends = 1;
    const process_fleet processes(options.programs, setup);

    paced_requests direct;
    direct.address = "127.0.0.1:" + std::to_string(setup.fleet.first_backend_port);
    direct.path = "/run";
    direct.headers = {{"Masticpass-Attempt-Id", "direct"}};
    direct.rate = options.rate;
    direct.connections = options.connections;
    direct.duration = absl::Seconds(options.seconds);
    paced_requests forwarded = direct;
    forwarded.address = processes.caller_address(0);
    forwarded.path = "/v1/services/service-0/requests";
    forwarded.headers = {{"Masticpass-Timeout-Ms", "2000"}, {"Masticpass-Repeatable", "yes"}};

    // This run opens the connections and lets the entry VM estimate the run time. Its result is not used.
    static_cast<void>(send_paced(forwarded));
    paced_result all_direct;
    paced_result all_forwarded;
    absl::Duration used_cpu_time = absl::ZeroDuration();
    table rounds(
        {"round", "direct p50", "through p50", "added p50", "direct p99", "through p99", "added p99"});
    for (int round = 0; round < options.rounds; ++round) {
        direct.seed = options.seed * 1000 + static_cast<std::uint64_t>(round) * 2;
        forwarded.seed = direct.seed + 1;
        const paced_result direct_result = send_paced(direct);
        const process_usage before = processes.usage_of_entry(0);
        const paced_result forwarded_result = send_paced(forwarded);
        used_cpu_time += processes.usage_of_entry(0).cpu_time - before.cpu_time;
        const double direct_p50 = percentile(direct_result.latency_ms, 0.5);
        const double direct_p99 = percentile(direct_result.latency_ms, 0.99);
        const double forwarded_p50 = percentile(forwarded_result.latency_ms, 0.5);
        const double forwarded_p99 = percentile(forwarded_result.latency_ms, 0.99);
        rounds.add({std::to_string(round), format_milliseconds(direct_p50),
                    format_milliseconds(forwarded_p50), format_milliseconds(forwarded_p50 - direct_p50),
                    format_milliseconds(direct_p99), format_milliseconds(forwarded_p99),
                    format_milliseconds(forwarded_p99 - direct_p99)});
        append(all_direct.latency_ms, direct_result.latency_ms);
        append(all_direct.since_schedule_ms, direct_result.since_schedule_ms);
        append(all_forwarded.latency_ms, forwarded_result.latency_ms);
        append(all_forwarded.since_schedule_ms, forwarded_result.since_schedule_ms);
        all_direct.failed += direct_result.failed;
        all_forwarded.failed += forwarded_result.failed;
    }
    const auto requests = static_cast<double>(all_forwarded.latency_ms.size());
    rounds.print("time of a request in ms, by round");
    table total({"measure", "direct", "through entry VM", "added"});
    add_row(total, "from sending", all_direct.latency_ms, all_forwarded.latency_ms);
    add_row(total, "from schedule", all_direct.since_schedule_ms, all_forwarded.since_schedule_ms);
    total.add({"requests", std::to_string(all_direct.latency_ms.size()),
               std::to_string(all_forwarded.latency_ms.size()), ""});
    total.add({"processor us/request", "",
               absl::StrFormat("%.0f", absl::ToDoubleMicroseconds(used_cpu_time) / requests), ""});
    total.add({"memory MB", "",
               absl::StrFormat("%.1f", processes.usage_of_entry(0).resident_kilobytes / 1024.0), ""});
    total.add({"failed", std::to_string(all_direct.failed), std::to_string(all_forwarded.failed), ""});
    total.print(absl::StrFormat(
        "all rounds, %.0f requests/s over %d connections, ms (goal: at most 0.3 p50, 1 p99 added)",
        options.rate, options.connections));
}

}  // namespace

}  // namespace masticpass::measure

// Measures the time that an entry VM adds to a request, in comparison with direct requests to the same
// backend server.
int main(int argc, char** argv) {
    CLI::App application("Measures the time that an entry VM adds to a request");
    masticpass::measure::overhead_options options;
    application.add_option("masticpass", options.programs.masticpass, "Path of the program masticpass")
        ->required();
    application.add_option("standin", options.programs.standin, "Path of the program masticpass_standin")
        ->required();
    application.add_option("--base-port", options.programs.base_port,
                           "First of the loopback ports that are used");
    application.add_option("--rate", options.rate, "Requests per second");
    application.add_option("--connections", options.connections);
    application.add_option("--rounds", options.rounds);
    application.add_option("--seconds", options.seconds, "Duration of each half of a round in seconds");
    application.add_option("--seed", options.seed);
    CLI11_PARSE(application, argc, argv);
    try {
        masticpass::measure::measure_overhead(options);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}
