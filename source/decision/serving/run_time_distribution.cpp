#include "decision/serving/run_time_distribution.h"

#include <algorithm>
#include <cmath>

namespace masticpass {
namespace {

constexpr int bins = 90;
constexpr double least_seconds = 0.001;
constexpr double most_seconds = 10'000.0;
// All weights are halved here, so that about the last few hundred observations decide.
constexpr double largest_weight = 512.0;

}  // namespace

run_time_distribution::run_time_distribution()
    : counts_(std::tuple(axis_type(bins, least_seconds, most_seconds)), storage_type()) {}

void run_time_distribution::observe(absl::Duration measured) {
    const double seconds =
        std::clamp(absl::ToDoubleSeconds(measured), least_seconds, std::nextafter(most_seconds, 0.0));
    counts_(seconds);
    weight_ += 1.0;
    weighted_seconds_ += seconds;
    if (weight_ >= largest_weight) {
        counts_ *= 0.5;
        weight_ *= 0.5;
        weighted_seconds_ *= 0.5;
    }
}

absl::Duration run_time_distribution::quantile(double share) const {
    const double wanted = share * weight_;
    double below = 0.0;
    for (int index = 0; index < bins; ++index) {
        const double here = counts_.at(index);
        if (here > 0.0 && below + here >= wanted) {
            const double inside = std::clamp((wanted - below) / here, 0.0, 1.0);
            return absl::Seconds(counts_.axis().value(index + inside));
        }
        below += here;
    }
    return absl::ZeroDuration();
}

absl::Duration run_time_distribution::mean() const {
    return weight_ > 0.0 ? absl::Seconds(weighted_seconds_ / weight_) : absl::ZeroDuration();
}

}  // namespace masticpass
