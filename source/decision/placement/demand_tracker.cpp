#include "decision/placement/demand_tracker.h"

#include <algorithm>
#include <cmath>

namespace masticpass {

double planned_demand(double planned_slots, const demand_estimate& estimate, double band) {
    if (!estimate.reliable || std::abs(estimate.sustained_slots - planned_slots) <= band * planned_slots) {
        return planned_slots;
    }
    return estimate.sustained_slots;
}

demand_tracker::demand_tracker(demand_window window) : window_(window) {}

void demand_tracker::record(const service_name& service, absl::Time now, double slots) {
    auto& series = series_[service];
    if (series.bins.empty()) {
        series.bins.resize(window_.bin_count);
        series.newest_bin = bin_number(now);
    } else if (now <= series.last_sample) {
        return;
    }
    const bool continuous = now - series.last_sample <= window_.bin_length;
    advance_to_bin(series, bin_number(now));
    auto& bin = series.bins[static_cast<std::size_t>(series.newest_bin) % series.bins.size()];
    bin.peak_slots = std::max(bin.peak_slots, slots);
    if (continuous) {
        const double seconds = absl::ToDoubleSeconds(now - series.last_sample);
        bin.slot_seconds += slots * seconds;
        bin.seconds += seconds;
    }
    series.last_sample = now;
}

demand_estimate demand_tracker::estimate(const service_name& service, absl::Time now) const {
    const auto found = series_.find(service);
    if (found == series_.end()) {
        return {};
    }
    const auto& series = found->second;
    const auto count = static_cast<std::int64_t>(series.bins.size());
    const auto oldest = bin_number(now) - count + 1;
    double slot_seconds = 0;
    double seconds = 0;
    demand_estimate result;
    for (auto number = std::max(oldest, series.newest_bin - count + 1); number <= series.newest_bin;
         ++number) {
        const auto& bin = series.bins[static_cast<std::size_t>(number) % series.bins.size()];
        slot_seconds += bin.slot_seconds;
        seconds += bin.seconds;
        result.peak_slots = std::max(result.peak_slots, bin.peak_slots);
    }
    result.sustained_slots = seconds > 0 ? slot_seconds / seconds : 0;
    result.sampled_time = absl::Seconds(seconds);
    result.reliable = result.sampled_time * 2 >= window_.bin_length * count;
    return result;
}

void demand_tracker::remove(const service_name& service) {
    series_.erase(service);
}

std::int64_t demand_tracker::bin_number(absl::Time time) const {
    return absl::ToInt64Nanoseconds(time - absl::UnixEpoch()) / absl::ToInt64Nanoseconds(window_.bin_length);
}

void demand_tracker::advance_to_bin(demand_series& series, std::int64_t bin) const {
    const auto count = static_cast<std::int64_t>(series.bins.size());
    const auto first = std::max(series.newest_bin + 1, bin - count + 1);
    for (auto number = first; number <= bin; ++number) {
        series.bins[static_cast<std::size_t>(number) % series.bins.size()] = {};
    }
    series.newest_bin = std::max(series.newest_bin, bin);
}

}  // namespace masticpass
