#include "decision/serving/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace masticpass {
namespace {

constexpr absl::Duration minimum_run_time = absl::Milliseconds(1);
constexpr absl::Duration default_run_time = absl::Milliseconds(200);
// Minimum weight of a new observation in the mean ratio of measured to declared time.
constexpr double minimum_ratio_step = 0.02;
constexpr double maximum_log_ratio = 5.0;
// A quantile that few runs exceed, times a margin. With a lower threshold, servers that merely run a large
// job would be queried.
constexpr double overdue_quantile = 0.99;
constexpr double overdue_factor = 3.0;
constexpr absl::Duration minimum_overdue_after = absl::Seconds(1);

}  // namespace

run_time_estimator::run_time_estimator(estimator_options options) : options_(options) {}

run_time_estimate run_time_estimator::estimate(const job_kind& kind,
                                               std::optional<absl::Duration> declared) const {
    const auto found = kinds_.find(kind);
    if (found != kinds_.end() && found->second.distribution.weight() >= options_.minimum_observations) {
        return estimate_from(found->second.distribution);
    }
    if (declared.has_value()) {
        const absl::Duration corrected = std::max(minimum_run_time, *declared * declared_time_correction());
        return {.expected = corrected,
                .typical = corrected,
                .high = corrected,
                .size = corrected <= options_.maximum_short_run_time ? size_class::short_work
                                                                     : size_class::long_work,
                .measured = false};
    }
    run_time_estimate estimate{
        .expected = default_run_time, .typical = default_run_time, .high = default_run_time};
    if (all_kinds_.weight() >= options_.minimum_observations) {
        estimate = estimate_from(all_kinds_);
    }
    estimate.measured = false;
    return estimate;
}

void run_time_estimator::observe(const job_kind& kind, std::optional<absl::Duration> declared,
                                 absl::Duration measured) {
    const absl::Duration run_time = std::max(measured, minimum_run_time);
    distribution_of(kind).observe(run_time);
    all_kinds_.observe(run_time);
    if (!declared.has_value() || *declared <= absl::ZeroDuration()) {
        return;
    }
    const double ratio =
        std::clamp(std::log(absl::FDivDuration(run_time, *declared)), -maximum_log_ratio, maximum_log_ratio);
    ratio_weight_ += 1.0;
    mean_log_ratio_ += (ratio - mean_log_ratio_) * std::max(minimum_ratio_step, 1.0 / ratio_weight_);
}

void run_time_estimator::observe_lower_bound(const job_kind& kind, std::optional<absl::Duration> declared,
                                             absl::Duration elapsed) {
    if (elapsed > estimate(kind, declared).expected) {
        distribution_of(kind).observe(elapsed);
        all_kinds_.observe(elapsed);
    }
}

absl::Duration run_time_estimator::overdue_after(const job_kind& kind,
                                                 std::optional<absl::Duration> declared) const {
    const auto found = kinds_.find(kind);
    const bool known =
        found != kinds_.end() && found->second.distribution.weight() >= options_.minimum_observations;
    const absl::Duration high =
        known ? found->second.distribution.quantile(overdue_quantile) : estimate(kind, declared).high;
    return std::max(minimum_overdue_after, high * overdue_factor);
}

run_time_distribution& run_time_estimator::distribution_of(const job_kind& kind) {
    const auto found = kinds_.find(kind);
    if (found != kinds_.end()) {
        recency_.splice(recency_.begin(), recency_, found->second.recency);
        return found->second.distribution;
    }
    if (kinds_.size() >= options_.maximum_kinds) {
        kinds_.erase(recency_.back());
        recency_.pop_back();
    }
    recency_.push_front(kind);
    return kinds_.emplace(kind, kind_statistics{.distribution = {}, .recency = recency_.begin()})
        .first->second.distribution;
}

run_time_estimate run_time_estimator::estimate_from(const run_time_distribution& distribution) const {
    const absl::Duration high = distribution.quantile(options_.high_quantile);
    return {.expected = distribution.mean(),
            .typical = distribution.quantile(0.5),
            .high = high,
            .size = high <= options_.maximum_short_run_time ? size_class::short_work : size_class::long_work,
            .measured = true};
}

double run_time_estimator::declared_time_correction() const {
    return std::exp(mean_log_ratio_);
}

}  // namespace masticpass
