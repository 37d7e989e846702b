#ifndef MASTICPASS_TELEMETRY_METRICS_H
#define MASTICPASS_TELEMETRY_METRICS_H

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

namespace masticpass {

// Identifies a time series: the name of a metric and at most one label.
struct metric_name {
    std::string name;
    std::string label = {};
    std::string label_value = {};

    friend bool operator==(const metric_name&, const metric_name&) = default;
    friend bool operator<(const metric_name& left, const metric_name& right) {
        return std::tie(left.name, left.label, left.label_value) <
               std::tie(right.name, right.label, right.label_value);
    }
};

// The counters, gauges and duration histograms of a process, exposed in the Prometheus text format. The
// series are divided among shards, each with its own lock. Thread safety: all methods may be called from any
// thread.
class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    // Adds `amount` to a counter, which starts at 0.
    void count(const metric_name& name, std::uint64_t amount = 1);

    // Sets a gauge.
    void set(const metric_name& name, double value);

    // Adds a duration to a histogram with logarithmic bins from 10 microseconds to 1,000 seconds.
    void observe(const metric_name& name, absl::Duration duration);

    // Returns the value of a counter; 0 if it was never incremented.
    std::uint64_t counter(const metric_name& name) const;

    // Returns all series in the Prometheus text exposition format, version 0.0.4.
    std::string exposition() const;

private:
    struct shard;
    static constexpr std::size_t shard_count = 8;

    shard& shard_of(const metric_name& name) const;

    std::array<std::unique_ptr<shard>, shard_count> shards_;
};

}  // namespace masticpass

#endif
