#include "standin/caller_standin.h"

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <json/json.h>

#include "standin/balancer.h"
#include "standin/request_sender.h"

namespace masticpass::standin {

namespace {

double quantile(std::vector<double>& values, double fraction) {
    if (values.empty()) {
        return 0.0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

Json::Value to_json(sending_result& result) {
    Json::Value value;
    value["sent"] = Json::UInt64{result.sent};
    value["complete"] = Json::UInt64{result.complete};
    value["incomplete"] = Json::UInt64{result.incomplete};
    value["cut"] = Json::UInt64{result.cut};
    value["resent"] = Json::UInt64{result.resent};
    value["refusals"] = Json::objectValue;
    for (const auto& [reason, count] : result.refusals) {
        value["refusals"][reason] = Json::UInt64{count};
    }
    value["p50_ms"] = quantile(result.latency_ms, 0.5);
    value["p99_ms"] = quantile(result.latency_ms, 0.99);
    return value;
}

// Sends requests at a fixed rate, one at a time, until `end`.
void send_paced(request_sender& sender, absl::Duration interval, absl::Time end) {
    absl::Time next = absl::Now();
    while (next < end) {
        absl::SleepFor(next - absl::Now());
        sender.send_request();
        next = std::max(next + interval, absl::Now() - interval);
    }
}

}  // namespace

int run_caller_standin(int argument_count, const char* const* arguments) {
    CLI::App application("Stand-in for callers and the load balancer");
    std::vector<std::string> callers;
    std::vector<std::string> statuses;
    sending_plan plan;
    double rate = 100.0;
    int seconds = 5;
    int threads = 16;
    std::uint64_t seed = 1;
    application.add_option("--caller", callers, "Caller address of each entry VM")->required();
    application.add_option("--status", statuses, "Status address of each entry VM, in the same order")
        ->required();
    application.add_option("--service", plan.services, "Services to send to")->required();
    application.add_option("--rate", rate, "Requests per second");
    application.add_option("--seconds", seconds);
    application.add_option("--threads", threads);
    application.add_option("--seed", seed);
    application.add_option("--timeout-ms", plan.timeout_ms);
    application.add_option("--short-ms", plan.short_ms);
    application.add_option("--long-ms", plan.long_ms);
    application.add_option("--long-share", plan.long_share);
    application.add_option("--once-share", plan.once_share);
    CLI11_PARSE(application, argument_count, arguments);

    std::vector<entry_addresses> entries;
    for (std::size_t index = 0; index < std::min(callers.size(), statuses.size()); ++index) {
        entries.push_back({callers[index], statuses[index]});
    }
    const balancer entry_balancer(entries);
    if (!entry_balancer.wait_until_healthy(1, 30)) {
        std::cerr << "no entry VM is healthy\n";
        return 1;
    }
    std::vector<std::unique_ptr<request_sender>> senders;
    std::vector<std::thread> sender_threads;
    const absl::Time end = absl::Now() + absl::Seconds(seconds);
    const absl::Duration interval = absl::Seconds(threads / rate);
    for (int index = 0; index < threads; ++index) {
        senders.push_back(std::make_unique<request_sender>(entry_balancer, plan,
                                                           seed * 1000 + static_cast<std::uint64_t>(index)));
        sender_threads.emplace_back(
            [&, index] { send_paced(*senders[static_cast<std::size_t>(index)], interval, end); });
    }
    sending_result total;
    for (std::size_t index = 0; index < sender_threads.size(); ++index) {
        sender_threads[index].join();
        total.add(senders[index]->result());
    }
    std::cout << Json::writeString(Json::StreamWriterBuilder(), to_json(total)) << "\n";
    return 0;
}

}  // namespace masticpass::standin
