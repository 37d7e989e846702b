#include "support/control_cost.h"

#include <algorithm>
#include <iostream>
#include <stdexcept>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>

#include "support/fleet_changes.h"
#include "support/health_responder.h"
#include "support/socket_traffic.h"
#include "support/table.h"

namespace masticpass::measure {

namespace {

constexpr int backend_port_offset = 200;
constexpr int peer_port_digit = 1;
constexpr int ports_per_entry = 10;
constexpr absl::Duration warm_up_time = absl::Seconds(8);
constexpr double bytes_per_kilobyte = 1000.0;

// The values of all counters at one time.
struct sample {
    absl::Time time;
    std::vector<process_usage> entries;
    traffic platform;
    traffic peers;
    double probes = 0.0;
    double probe_bytes_sent = 0.0;
    double probe_bytes_received = 0.0;
    Json::Value call_counters;
};

// Rates between two samples for one entry VM, as the mean over all entry VMs. Traffic is in kilobytes per
// second, sent and received together.
struct rates {
    double seconds = 0.0;
    double core_percent = 0.0;
    double maximum_core_percent = 0.0;
    double platform = 0.0;
    double peers = 0.0;
    double probes = 0.0;
    // Traffic to the platform and between entry VMs, including IP and TCP headers.
    double with_headers = 0.0;

    double bytes() const { return platform + peers + probes; }
};

class control_run {
public:
    control_run(const control_options& options, const fleet_size& size)
        : options_(options),
          responder_(options.programs.base_port + backend_port_offset, size.vms),
          traffic_(options.programs.base_port, options.programs.base_port + backend_port_offset - 1),
          processes_(options.programs, fleet_options_for(options, size)) {
        absl::SleepFor(warm_up_time);
    }

    sample take_sample() {
        sample result;
        result.time = absl::Now();
        for (int entry = 0; entry < processes_.entry_count(); ++entry) {
            result.entries.push_back(processes_.usage_of_entry(entry));
        }
        for (const auto& [port, bytes] : traffic_.by_port()) {
            traffic* const sum = port == options_.programs.base_port         ? &result.platform
                                 : port % ports_per_entry == peer_port_digit ? &result.peers
                                                                             : nullptr;
            if (sum != nullptr) {
                sum->sent += bytes.sent;
                sum->received += bytes.received;
                sum->with_headers += bytes.with_headers;
            }
        }
        result.probes = static_cast<double>(responder_.probes());
        result.probe_bytes_received = static_cast<double>(responder_.bytes_received());
        result.probe_bytes_sent = static_cast<double>(responder_.bytes_sent());
        result.call_counters = processes_.platform_counters();
        return result;
    }

    const process_fleet& processes() const { return processes_; }

private:
    static fleet_options fleet_options_for(const control_options& options, const fleet_size& size) {
        fleet_options result;
        result.fleet.vms = size.vms;
        result.fleet.pools = size.pools;
        result.fleet.first_backend_port = options.programs.base_port + backend_port_offset;
        result.entries = options.entries;
        return result;
    }

    const control_options options_;
    health_responder responder_;
    socket_traffic traffic_;
    process_fleet processes_;
};

rates rates_between(const sample& before, const sample& after) {
    rates result;
    result.seconds = absl::ToDoubleSeconds(after.time - before.time);
    const auto entries = static_cast<double>(after.entries.size());
    for (std::size_t entry = 0; entry < after.entries.size(); ++entry) {
        const absl::Duration used = after.entries[entry].cpu_time - before.entries[entry].cpu_time;
        const double percent = 100.0 * absl::ToDoubleSeconds(used) / result.seconds;
        result.core_percent += percent / entries;
        result.maximum_core_percent = std::max(result.maximum_core_percent, percent);
    }
    const double per_entry = 1.0 / (result.seconds * entries * bytes_per_kilobyte);
    const traffic platform = after.platform - before.platform;
    const traffic peers = after.peers - before.peers;
    const double probes = after.probe_bytes_sent - before.probe_bytes_sent + after.probe_bytes_received -
                          before.probe_bytes_received;
    result.platform = (platform.sent + platform.received) * per_entry;
    // Each byte between entry VMs is sent by one of them and received by another, so it counts for both.
    result.peers = 2.0 * (peers.sent + peers.received) * per_entry;
    result.probes = probes * per_entry;
    result.with_headers = (platform.with_headers + 2.0 * peers.with_headers) * per_entry;
    return result;
}

// Interpolates the cost at the two-year rate of changes between the cost without changes and the cost at
// `factor` times that rate.
double at_two_year_rate(double idle, double fast, double factor) {
    return idle + (fast - idle) / factor;
}

std::string format_number(double value) {
    return absl::StrFormat("%.2f", value);
}

double maximum_memory_mb(const sample& taken) {
    double result = 0.0;
    for (const process_usage& usage : taken.entries) {
        result = std::max(result, usage.resident_kilobytes);
    }
    return result / 1024.0;
}

void add_rate_row(table& rows, const std::string& size, const std::string& load, const rates& measured,
                  const sample& end) {
    rows.add({size, load, format_number(measured.core_percent), format_number(measured.maximum_core_percent),
              format_number(maximum_memory_mb(end)), std::to_string(end.entries.front().threads),
              format_number(measured.bytes()), format_number(measured.platform),
              format_number(measured.peers), format_number(measured.probes)});
}

void add_call_rows(table& rows, const std::string& size, const std::string& load, const sample& before,
                   const sample& after) {
    const double seconds = absl::ToDoubleSeconds(after.time - before.time);
    for (const std::string& kind : after.call_counters.getMemberNames()) {
        const Json::Value& earlier = before.call_counters[kind];
        const auto rate = [&](const char* name) {
            return (after.call_counters[kind][name].asDouble() -
                    (earlier.isNull() ? 0.0 : earlier[name].asDouble())) /
                   seconds;
        };
        rows.add({size, load, kind, format_number(rate("calls")),
                  format_number(rate("bytes_received") / bytes_per_kilobyte),
                  format_number(rate("bytes_sent") / bytes_per_kilobyte)});
    }
}

}  // namespace

std::vector<fleet_size> parse_sizes(const std::vector<std::string>& texts) {
    std::vector<fleet_size> result;
    for (const std::string& text : texts) {
        const std::vector<std::string> parts = absl::StrSplit(text, ':');
        fleet_size size;
        if (parts.size() != 2 || !absl::SimpleAtoi(parts[0], &size.vms) ||
            !absl::SimpleAtoi(parts[1], &size.pools) || size.pools < 1 || size.vms < size.pools) {
            throw std::runtime_error("expected a size as VMs:pools, got: " + text);
        }
        result.push_back(size);
    }
    return result;
}

void measure_control_cost(const control_options& options, const std::vector<fleet_size>& sizes) {
    table costs({"VMs/pools", "changes", "core %", "worst %", "memory MB", "threads", "KB/s", "platform",
                 "peers", "probes"});
    table calls({"VMs/pools", "changes", "call", "calls/s", "KB/s received", "KB/s sent"});
    for (const fleet_size& size : sizes) {
        const std::string name = absl::StrCat(size.vms, "/", size.pools);
        control_run run(options, size);
        const sample start = run.take_sample();
        absl::SleepFor(absl::Seconds(options.seconds));
        const sample idle_end = run.take_sample();
        const change_counts made =
            make_changes(run.processes(), size.vms, options.change_factor, absl::Seconds(options.seconds));
        const sample end = run.take_sample();
        const rates idle = rates_between(start, idle_end);
        const rates fast = rates_between(idle_end, end);
        add_rate_row(costs, name, "none", idle, idle_end);
        add_rate_row(costs, name, absl::StrCat("x", options.change_factor), fast, end);
        rates scaled;
        scaled.core_percent = at_two_year_rate(idle.core_percent, fast.core_percent, options.change_factor);
        scaled.maximum_core_percent =
            at_two_year_rate(idle.maximum_core_percent, fast.maximum_core_percent, options.change_factor);
        scaled.platform = at_two_year_rate(idle.platform, fast.platform, options.change_factor);
        scaled.peers = at_two_year_rate(idle.peers, fast.peers, options.change_factor);
        scaled.probes = at_two_year_rate(idle.probes, fast.probes, options.change_factor);
        add_rate_row(costs, name, "x1 (computed)", scaled, end);
        add_call_rows(calls, name, "none", start, idle_end);
        add_call_rows(calls, name, absl::StrCat("x", options.change_factor), idle_end, end);
        std::cout << name << ": " << made.accepted << " of " << made.proposed << " changes accepted, "
                  << made.drains_started << " of " << made.drains_requested << " drains started, in "
                  << format_number(fast.seconds) << " s; "
                  << format_number((idle_end.probes - start.probes) / idle.seconds) << " probes/s in total; "
                  << format_number(idle.with_headers)
                  << " KB/s with IP and TCP headers, without changes and without probes\n";
    }
    std::cout << '\n';
    costs.print(absl::StrCat("control cost of one entry VM, mean of ", options.entries,
                             " (goals: 1.8% of a core, 32 MB, 28 KB/s)"));
    calls.print("calls to the platform by all entry VMs");
}

}  // namespace masticpass::measure
