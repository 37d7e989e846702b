#include "telemetry/metrics.h"

#include <optional>

#include <absl/hash/hash.h>
#include <absl/strings/str_cat.h>
#include <boost/histogram.hpp>

namespace masticpass {

namespace {

constexpr int histogram_bins = 48;
constexpr double minimum_bucket_seconds = 1e-5;
constexpr double maximum_bucket_seconds = 1e3;

auto make_duration_histogram() {
    return boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(
            histogram_bins, minimum_bucket_seconds, maximum_bucket_seconds));
}

using duration_histogram = decltype(make_duration_histogram());

struct duration_series {
    duration_histogram bins = make_duration_histogram();
    double sum_seconds = 0.0;
    std::uint64_t count = 0;
};

std::string series_text(const metric_name& name) {
    if (name.label.empty()) {
        return name.name;
    }
    return absl::StrCat(name.name, "{", name.label, "=\"", name.label_value, "\"}");
}

std::string bucket_text(const metric_name& name, const std::string& upper_bound) {
    const std::string label =
        name.label.empty() ? std::string() : absl::StrCat(name.label, "=\"", name.label_value, "\",");
    return absl::StrCat(name.name, "_bucket{", label, "le=\"", upper_bound, "\"}");
}

metric_name with_suffix(const metric_name& name, const char* suffix) {
    return metric_name{absl::StrCat(name.name, suffix), name.label, name.label_value};
}

void append_histogram(const metric_name& name, const duration_series& series, std::string& text) {
    double cumulative = series.bins.at(-1);
    for (int bin = 0; bin < histogram_bins; ++bin) {
        cumulative += series.bins.at(bin);
        const double upper_bound = series.bins.axis().bin(bin).upper();
        absl::StrAppend(&text, bucket_text(name, absl::StrCat(upper_bound)), " ", cumulative, "\n");
    }
    absl::StrAppend(&text, bucket_text(name, "+Inf"), " ", series.count, "\n");
    absl::StrAppend(&text, series_text(with_suffix(name, "_sum")), " ", series.sum_seconds, "\n");
    absl::StrAppend(&text, series_text(with_suffix(name, "_count")), " ", series.count, "\n");
}

}  // namespace

struct metrics_registry::shard {
    mutable absl::Mutex mutex;
    std::map<metric_name, std::uint64_t> counters ABSL_GUARDED_BY(mutex);
    std::map<metric_name, double> gauges ABSL_GUARDED_BY(mutex);
    std::map<metric_name, duration_series> histograms ABSL_GUARDED_BY(mutex);
};

metrics_registry::metrics_registry() {
    for (auto& stored_shard : shards_) {
        stored_shard = std::make_unique<shard>();
    }
}

metrics_registry::~metrics_registry() = default;

metrics_registry::shard& metrics_registry::shard_of(const metric_name& name) const {
    // All series of a metric are in the same shard, so that the exposition lists them together.
    return *shards_.at(absl::HashOf(name.name) % shard_count);
}

void metrics_registry::count(const metric_name& name, std::uint64_t amount) {
    shard& target = shard_of(name);
    const absl::MutexLock lock(&target.mutex);
    target.counters[name] += amount;
}

void metrics_registry::set(const metric_name& name, double value) {
    shard& target = shard_of(name);
    const absl::MutexLock lock(&target.mutex);
    target.gauges[name] = value;
}

void metrics_registry::observe(const metric_name& name, absl::Duration duration) {
    const double seconds = absl::ToDoubleSeconds(duration);
    shard& target = shard_of(name);
    const absl::MutexLock lock(&target.mutex);
    duration_series& series = target.histograms[name];
    series.bins(seconds);
    series.sum_seconds += seconds;
    ++series.count;
}

std::uint64_t metrics_registry::counter(const metric_name& name) const {
    const shard& target = shard_of(name);
    const absl::MutexLock lock(&target.mutex);
    const auto found = target.counters.find(name);
    return found == target.counters.end() ? 0 : found->second;
}

std::string metrics_registry::exposition() const {
    std::string text;
    for (const auto& stored_shard : shards_) {
        const absl::MutexLock lock(&stored_shard->mutex);
        for (const auto& [name, value] : stored_shard->counters) {
            absl::StrAppend(&text, series_text(name), " ", value, "\n");
        }
        for (const auto& [name, value] : stored_shard->gauges) {
            absl::StrAppend(&text, series_text(name), " ", value, "\n");
        }
        for (const auto& [name, series] : stored_shard->histograms) {
            append_histogram(name, series, text);
        }
    }
    return text;
}

}  // namespace masticpass
