#include "decision/jobs/pool_demand.h"

#include <algorithm>
#include <cmath>

namespace masticpass {

namespace {

constexpr double millis_per_core = 1000.0;

}  // namespace

void pool_demand::observe(const pool_load& load, absl::Time now) {
    load_ = load;
    samples_.push_back(
        {.at = now, .arrived_core_seconds = load.arrived_core_seconds, .arrived_jobs = load.arrived_jobs});
    const absl::Duration longest = std::max(limits_.rising_window, limits_.falling_window);
    // Keeps the last sample before the window, since it marks the beginning of the window.
    while (samples_.size() > 2 && samples_[1].at <= now - longest) {
        samples_.pop_front();
    }
}

const pool_demand::sample& pool_demand::sample_before(absl::Duration age) const {
    auto found = std::prev(samples_.end());
    while (found != samples_.begin() && samples_.back().at - found->at < age) {
        --found;
    }
    return *found;
}

double pool_demand::arrival_rate(absl::Duration window) const {
    if (samples_.size() < 2) {
        return 0;
    }
    const sample& last = samples_.back();
    const sample& first = sample_before(window);
    const double seconds = absl::ToDoubleSeconds(std::max(last.at - first.at, window));
    return (last.arrived_core_seconds - first.arrived_core_seconds) / seconds;
}

double pool_demand::forecast_arrival_rate() const {
    const double rate = arrival_rate(limits_.rising_window);
    if (samples_.size() < 2) {
        return rate;
    }
    const sample& last = samples_.back();
    const sample& middle = sample_before(limits_.rising_window);
    const sample& first = sample_before(2 * limits_.rising_window);
    const auto late_jobs = static_cast<double>(last.arrived_jobs - middle.arrived_jobs);
    const auto early_jobs = static_cast<double>(middle.arrived_jobs - first.arrived_jobs);
    // The numbers of random arrivals in two windows differ by about the square root of their sum.
    if (late_jobs - early_jobs <= limits_.significance_factor * std::sqrt(late_jobs + early_jobs)) {
        return rate;
    }
    const double window = absl::ToDoubleSeconds(limits_.rising_window);
    const double rise = (late_jobs - early_jobs) / late_jobs * rate / window;
    return std::min(rate + rise * absl::ToDoubleSeconds(limits_.lead_time),
                    limits_.maximum_rise_factor * rate);
}

int pool_demand::vms_for_work(double rate, double cores) const {
    const double long_running =
        static_cast<double>(load_.placed_long_running_resources.cpu_millis) / millis_per_core;
    const double backlog = load_.waiting_core_seconds / absl::ToDoubleSeconds(limits_.backlog_drain_time);
    return static_cast<int>(
        std::ceil((long_running + rate + backlog) / (cores * limits_.packing_efficiency)));
}

int pool_demand::needed_vms(double cores, double memory_mb) const {
    const double rate = forecast_arrival_rate();
    // Long-running tasks have no amount of work, so waiting ones count by the resources that they need.
    const double waiting = static_cast<double>(load_.waiting_resources.cpu_millis) / millis_per_core;
    const double placed = static_cast<double>(load_.placed_resources.cpu_millis) / millis_per_core;
    const double by_cpu = (placed + waiting) / (cores * limits_.packing_efficiency);
    const double by_memory =
        static_cast<double>(load_.placed_resources.memory_mb + load_.waiting_resources.memory_mb) /
        (memory_mb * limits_.packing_efficiency);
    // Limits the result to the VMs that there are tasks for, including the tasks that arrive while the VMs
    // join.
    const double joining =
        rate * absl::ToDoubleSeconds(limits_.lead_time) / (cores * limits_.packing_efficiency);
    const int useful = static_cast<int>(std::ceil(std::max(by_cpu, by_memory) + joining));
    return std::min(vms_for_work(rate, cores), useful);
}

int pool_demand::retained_vms(double cores) const {
    const double rate = std::max(forecast_arrival_rate(), arrival_rate(limits_.falling_window));
    return vms_for_work(rate, cores);
}

}  // namespace masticpass
