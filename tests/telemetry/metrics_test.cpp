#include "telemetry/metrics.h"

#include <thread>
#include <vector>

#include <doctest/doctest.h>

namespace masticpass {

// Guards against lost increments when several threads increment the same counter.
TEST_CASE("concurrent increments add up") {
    metrics_registry metrics;
    const metric_name name{"masticpass_refusals_total", "reason", "stopping"};
    constexpr int thread_count = 4;
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (int index = 0; index < thread_count; ++index) {
        threads.emplace_back([&] {
            for (int step = 0; step < 1000; ++step) {
                metrics.count(name);
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    CHECK(metrics.counter(name) == 4000);
    CHECK(metrics.exposition().find("masticpass_refusals_total{reason=\"stopping\"} 4000\n") !=
          std::string::npos);
}

// Guards against buckets that are not cumulative, which readers of the text format would misinterpret.
TEST_CASE("histogram buckets are cumulative and end with the count") {
    metrics_registry metrics;
    const metric_name name{"masticpass_wait_seconds", "", ""};
    metrics.observe(name, absl::Milliseconds(1));
    metrics.observe(name, absl::Seconds(2000));
    const std::string text = metrics.exposition();
    CHECK(text.find("masticpass_wait_seconds_bucket{le=\"+Inf\"} 2\n") != std::string::npos);
    CHECK(text.find("masticpass_wait_seconds_count 2\n") != std::string::npos);
}

}  // namespace masticpass
