#include "decision/serving/run_time_distribution.h"

#include <algorithm>
#include <cmath>

namespace masticpass {
namespace {

constexpr int bin_count = 90;
constexpr double minimum_seconds = 0.001;
constexpr double maximum_seconds = 10'000.0;
// All weights are halved when their sum reaches this value, so that the last few hundred observations
// dominate.
constexpr double maximum_weight = 512.0;

}  // namespace

run_time_distribution::run_time_distribution()
    : counts_(std::tuple(axis_type(bin_count, minimum_seconds, maximum_seconds)), storage_type()) {}

void run_time_distribution::observe(absl::Duration measured) {
    const double seconds =
        std::clamp(absl::ToDoubleSeconds(measured), minimum_seconds, std::nextafter(maximum_seconds, 0.0));
    counts_(seconds);
    weight_ += 1.0;
    weighted_seconds_ += seconds;
    if (weight_ >= maximum_weight) {
        counts_ *= 0.5;
        weight_ *= 0.5;
        weighted_seconds_ *= 0.5;
    }
}

absl::Duration run_time_distribution::quantile(double share) const {
    const double target_weight = share * weight_;
    double weight_below = 0.0;
    for (int index = 0; index < bin_count; ++index) {
        const double bin_weight = counts_.at(index);
        if (bin_weight > 0.0 && weight_below + bin_weight >= target_weight) {
            const double bin_fraction = std::clamp((target_weight - weight_below) / bin_weight, 0.0, 1.0);
            return absl::Seconds(counts_.axis().value(index + bin_fraction));
        }
        weight_below += bin_weight;
    }
    return absl::ZeroDuration();
}

absl::Duration run_time_distribution::mean() const {
    return weight_ > 0.0 ? absl::Seconds(weighted_seconds_ / weight_) : absl::ZeroDuration();
}

}  // namespace masticpass
