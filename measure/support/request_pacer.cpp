#include "support/request_pacer.h"

#include <thread>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

namespace masticpass::measure {

namespace {

constexpr int status_ok = 200;

double milliseconds_since(absl::Time start) {
    return absl::ToDoubleMilliseconds(absl::Now() - start);
}

// Sends the requests of one connection: those whose number modulo the number of connections is `connection`.
paced_result send_on_connection(const paced_requests& plan, absl::Time start, int connection) {
    httplib::Client client("http://" + plan.address);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    paced_result result;
    const auto total = static_cast<int>(plan.rate * absl::ToDoubleSeconds(plan.duration));
    for (int number = connection; number < total; number += plan.connections) {
        const absl::Time scheduled = start + absl::Seconds(number / plan.rate);
        absl::SleepFor(scheduled - absl::Now());
        httplib::Headers headers = plan.headers;
        if (!plan.identities.empty()) {
            headers.emplace("Masticpass-Request-Id", plan.identities.at(static_cast<std::size_t>(number)));
        }
        const std::string body = absl::StrCat(R"({"job":")", plan.seed, "-", number, R"(","run_ms":0})");
        const absl::Time sent = absl::Now();
        const auto response = client.Post(plan.path, headers, body, "application/json");
        if (!response || response->status != status_ok) {
            ++result.failed;
            continue;
        }
        result.latency_ms.push_back(milliseconds_since(sent));
        result.since_schedule_ms.push_back(milliseconds_since(scheduled));
    }
    return result;
}

}  // namespace

paced_result send_paced(const paced_requests& plan) {
    const absl::Time start = absl::Now() + absl::Milliseconds(50);
    std::vector<paced_result> connection_results(static_cast<std::size_t>(plan.connections));
    std::vector<std::thread> threads;
    threads.reserve(connection_results.size());
    for (int connection = 0; connection < plan.connections; ++connection) {
        threads.emplace_back([&, connection] {
            connection_results[static_cast<std::size_t>(connection)] =
                send_on_connection(plan, start, connection);
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    paced_result total;
    for (const paced_result& connection_result : connection_results) {
        total.latency_ms.insert(total.latency_ms.end(), connection_result.latency_ms.begin(),
                                connection_result.latency_ms.end());
        total.since_schedule_ms.insert(total.since_schedule_ms.end(),
                                       connection_result.since_schedule_ms.begin(),
                                       connection_result.since_schedule_ms.end());
        total.failed += connection_result.failed;
    }
    return total;
}

}  // namespace masticpass::measure
