#include "support/configuration_spread.h"

#include <algorithm>
#include <iostream>
#include <thread>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>

#include "store/etcd_messages.h"
#include "support/health_responder.h"
#include "support/table.h"

namespace masticpass::measure {

namespace {

constexpr int backend_port_offset = 200;
constexpr int slow_store_delay_ms = 500;
constexpr absl::Duration poll_interval = absl::Milliseconds(10);
constexpr absl::Duration spread_timeout = absl::Seconds(30);

struct spread_result {
    std::vector<double> since_proposed;
    std::vector<double> since_accepted;
    int refused = 0;
    int timed_out = 0;
};

// Waits until the revision is in force in all entry VMs and returns the time at which the last of them
// reported it; InfiniteFuture if one of them does not within `spread_timeout`.
absl::Time time_in_force_everywhere(const process_fleet& processes, std::int64_t revision) {
    const absl::Time deadline = absl::Now() + spread_timeout;
    std::vector<absl::Time> reached_at(static_cast<std::size_t>(processes.entry_count()),
                                       absl::InfiniteFuture());
    std::vector<std::thread> threads;
    threads.reserve(reached_at.size());
    for (int entry = 0; entry < processes.entry_count(); ++entry) {
        threads.emplace_back([&, entry] {
            while (absl::Now() < deadline) {
                if (processes.revision_in_force(entry) >= revision) {
                    reached_at[static_cast<std::size_t>(entry)] = absl::Now();
                    return;
                }
                absl::SleepFor(poll_interval);
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    return *std::max_element(reached_at.begin(), reached_at.end());
}

void measure_change(const process_fleet& processes, int number, spread_result& result) {
    const int entry = number % processes.entry_count();
    const configuration_change change = processes.quota_change(absl::StrCat("spread-", number));
    const absl::Time proposed = absl::Now();
    const auto response = processes.operations_client_of(entry).propose_change(change);
    if (!response) {
        ++result.refused;
        return;
    }
    const absl::Time accepted = absl::Now();
    const absl::Time reached_at =
        time_in_force_everywhere(processes, etcd::integer_member(*response, "revision"));
    if (reached_at == absl::InfiniteFuture()) {
        ++result.timed_out;
        return;
    }
    result.since_proposed.push_back(absl::ToDoubleSeconds(reached_at - proposed));
    result.since_accepted.push_back(absl::ToDoubleSeconds(reached_at - accepted));
}

std::string format_seconds(double value) {
    return absl::StrFormat("%.3f", value);
}

double largest(const std::vector<double>& values) {
    return values.empty() ? 0.0 : *std::max_element(values.begin(), values.end());
}

}  // namespace

void measure_configuration_spread(const control_options& options, const std::vector<fleet_size>& sizes,
                                  int changes) {
    table rows({"VMs/pools", "store", "changes", "refused", "not in 30 s", "accepted p50", "accepted max",
                "proposed p50", "proposed max"});
    for (const fleet_size& size : sizes) {
        fleet_options setup;
        setup.fleet.vms = size.vms;
        setup.fleet.pools = size.pools;
        setup.fleet.first_backend_port = options.programs.base_port + backend_port_offset;
        setup.entries = options.entries;
        const health_responder responder(setup.fleet.first_backend_port, size.vms);
        const process_fleet processes(options.programs, setup);
        int number = 0;
        for (const int delay : {0, slow_store_delay_ms}) {
            processes.set_faults(absl::StrCat("{\"slow_ms\":", delay, "}"));
            spread_result measured;
            for (const int end = number + changes; number < end; ++number) {
                measure_change(processes, number, measured);
            }
            rows.add({absl::StrCat(size.vms, "/", size.pools), absl::StrCat(delay, " ms"),
                      std::to_string(changes), std::to_string(measured.refused),
                      std::to_string(measured.timed_out),
                      format_seconds(percentile(measured.since_accepted, 0.5)),
                      format_seconds(largest(measured.since_accepted)),
                      format_seconds(percentile(measured.since_proposed, 0.5)),
                      format_seconds(largest(measured.since_proposed))});
        }
    }
    rows.print(
        absl::StrCat("seconds from the acceptance (or proposal) of a change until it is in force in all of ",
                     options.entries, " entry VMs (goals: 2 s today, 10 s at the two-year size)"));
}

}  // namespace masticpass::measure
