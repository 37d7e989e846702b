#include "decision/serving/class_share.h"

#include <algorithm>
#include <cmath>

namespace masticpass {
namespace {

// Long enough to average over single requests, short enough to follow a burst of some seconds.
constexpr absl::Duration load_memory = absl::Seconds(5);
constexpr absl::Duration use_memory = absl::Seconds(30);

double remaining(absl::Time from, absl::Time to, absl::Duration memory) {
    return from == absl::InfinitePast() ? 0.0 : std::exp(-absl::FDivDuration(to - from, memory));
}

}  // namespace

class_share::class_share(double long_share) : long_share_(long_share) {}

void class_share::short_arrived(absl::Duration work, absl::Time now) {
    short_load_ = short_load(now) + absl::FDivDuration(work, load_memory);
    load_time_ = now;
}

void class_share::running_changed(int long_running, int slots, absl::Time now) {
    long_use_ = long_use(now);
    use_time_ = now;
    present_use_ = slots > 0 ? std::min(1.0, static_cast<double>(long_running) / slots) : 0.0;
}

bool class_share::long_may_start(int long_running, int slots, absl::Time now) const {
    return long_running < slots - kept_for_short(slots, now) || long_is_owed(long_running, slots, now);
}

bool class_share::long_is_owed(int long_running, int slots, absl::Time now) const {
    const int guaranteed = static_cast<int>(long_share_ * slots);
    if (guaranteed > 0) {
        return long_running < guaranteed;
    }
    // Too few slots to give one away: long work gets its share of the time instead.
    return long_running == 0 && long_use(now) < long_share_;
}

int class_share::kept_for_short(int slots, absl::Time now) const {
    const double load = short_load(now);
    const int wanted = static_cast<int>(load + std::sqrt(load));
    return std::clamp(wanted, 0, std::max(0, slots - 1));
}

double class_share::short_load(absl::Time now) const {
    return short_load_ * remaining(load_time_, now, load_memory);
}

double class_share::long_use(absl::Time now) const {
    return present_use_ + (long_use_ - present_use_) * remaining(use_time_, now, use_memory);
}

}  // namespace masticpass
