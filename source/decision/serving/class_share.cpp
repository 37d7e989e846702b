#include "decision/serving/class_share.h"

#include <algorithm>
#include <cmath>

namespace masticpass {
namespace {

// Long enough to average over single requests, short enough to follow a burst of some seconds.
constexpr absl::Duration load_memory = absl::Seconds(5);
constexpr absl::Duration use_memory = absl::Seconds(30);

constexpr absl::Duration lost_memory = absl::Seconds(60);
// Slots kept free beyond the mean load, in standard deviations of the number of short requests in service:
// while little long work waits, and by the capacity lost.
constexpr double margin_by_wait = 2.0;
constexpr double margin_by_loss = 1.5;
// Long work that waits for less than this time of all slots only starts later, so the slots kept from it lose
// no throughput. With few slots, one kept slot exceeds the limits of lost capacity for a time even at a load
// at which it costs nothing.
constexpr absl::Duration accepted_wait = absl::Seconds(20);
// The kept slots go down from all to none between these shares of lost capacity. The goal allows a loss of
// 3%; a range instead of one limit lets the number of kept slots settle, where it would otherwise alternate.
constexpr double least_lost_share = 0.018;
constexpr double largest_lost_share = 0.028;

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

void class_share::slots_are_free(int free_slots, int slots, bool long_waits, absl::Time now) {
    lost_share_ = lost_share(now);
    lost_time_ = now;
    const double share = slots > 0 ? static_cast<double>(free_slots) / slots : 0.0;
    present_lost_ = long_waits ? share : -share;
}

bool class_share::long_may_start(int long_running, absl::Duration long_waiting, int slots,
                                 absl::Time now) const {
    return long_running < slots - kept_for_short(long_waiting, slots, now) ||
           long_is_owed(long_running, slots, now);
}

bool class_share::long_is_owed(int long_running, int slots, absl::Time now) const {
    const int guaranteed = static_cast<int>(long_share_ * slots);
    if (guaranteed > 0) {
        return long_running < guaranteed;
    }
    // Too few slots to give one away: long work gets its share of the time instead.
    return long_running == 0 && long_use(now) < long_share_;
}

int class_share::kept_for_short(absl::Duration long_waiting, int slots, absl::Time now) const {
    if (slots <= 0) {
        return 0;
    }
    const double load = short_load(now);
    const double deviation = std::sqrt(load);
    const double by_loss = std::clamp(
        (largest_lost_share - lost_share(now)) / (largest_lost_share - least_lost_share), 0.0, 1.0);
    const double by_wait =
        std::clamp(1.0 - absl::FDivDuration(long_waiting, accepted_wait * slots), 0.0, 1.0);
    const double wanted_by_loss = by_loss * (load + margin_by_loss * deviation);
    const double wanted_by_wait = by_wait * (load + margin_by_wait * deviation);
    const int wanted =
        std::max(static_cast<int>(wanted_by_loss), static_cast<int>(std::round(wanted_by_wait)));
    return std::min(wanted, slots - 1);
}

double class_share::short_load(absl::Time now) const {
    return short_load_ * remaining(load_time_, now, load_memory);
}

double class_share::lost_share(absl::Time now) const {
    return present_lost_ + (lost_share_ - present_lost_) * remaining(lost_time_, now, lost_memory);
}

double class_share::long_use(absl::Time now) const {
    return present_use_ + (long_use_ - present_use_) * remaining(use_time_, now, use_memory);
}

}  // namespace masticpass
