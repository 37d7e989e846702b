#include "decision/serving/size_class_policy.h"

#include <algorithm>
#include <cmath>

namespace masticpass {
namespace {

// Long enough to average over single requests and short enough to follow a burst of a few seconds.
constexpr absl::Duration load_decay_time = absl::Seconds(5);
constexpr absl::Duration long_share_decay_time = absl::Seconds(30);

constexpr absl::Duration lost_share_decay_time = absl::Seconds(60);
// Slots reserved beyond the mean load, in standard deviations of the number of running short requests. The
// first margin is scaled down as more long work is queued, the second one as more capacity is lost.
constexpr double wait_margin_deviations = 2.0;
constexpr double loss_margin_deviations = 1.5;
// While the queued long work takes less than this time on all slots, reserving slots only delays it and loses
// no throughput. With few slots, a single reserved slot temporarily exceeds the limits on lost capacity even
// at a load at which it costs no throughput.
constexpr absl::Duration maximum_accepted_wait = absl::Seconds(20);
// The number of slots reserved regardless of queued long work decreases linearly to zero between these shares
// of lost capacity, which stay below the permitted loss of 3%. With a single limit instead of a range, the
// number would oscillate.
constexpr double minimum_lost_share = 0.018;
constexpr double maximum_lost_share = 0.028;

double decay_factor(absl::Time from, absl::Time to, absl::Duration decay_time) {
    return from == absl::InfinitePast() ? 0.0 : std::exp(-absl::FDivDuration(to - from, decay_time));
}

}  // namespace

size_class_policy::size_class_policy(double long_share) : guaranteed_long_share_(long_share) {}

void size_class_policy::record_short_arrival(absl::Duration work, absl::Time now) {
    short_load_ = short_load(now) + absl::FDivDuration(work, load_decay_time);
    short_load_time_ = now;
}

void size_class_policy::record_running(int long_running, int slots, absl::Time now) {
    mean_long_share_ = mean_long_share(now);
    long_share_time_ = now;
    current_long_share_ = slots > 0 ? std::min(1.0, static_cast<double>(long_running) / slots) : 0.0;
}

void size_class_policy::record_free_slots(int free_slots, int slots, bool long_waits, absl::Time now) {
    mean_lost_share_ = mean_lost_share(now);
    lost_share_time_ = now;
    const double share = slots > 0 ? static_cast<double>(free_slots) / slots : 0.0;
    current_lost_share_ = long_waits ? share : -share;
}

bool size_class_policy::long_may_start(int long_running, absl::Duration long_waiting, int slots,
                                       absl::Time now) const {
    return long_running < slots - slots_reserved_for_short(long_waiting, slots, now) ||
           is_long_below_share(long_running, slots, now);
}

bool size_class_policy::is_long_below_share(int long_running, int slots, absl::Time now) const {
    const int guaranteed = static_cast<int>(guaranteed_long_share_ * slots);
    if (guaranteed > 0) {
        return long_running < guaranteed;
    }
    // With too few slots to guarantee a whole one, long work gets its share of the time on one slot.
    return long_running == 0 && mean_long_share(now) < guaranteed_long_share_;
}

int size_class_policy::slots_reserved_for_short(absl::Duration long_waiting, int slots,
                                                absl::Time now) const {
    if (slots <= 0) {
        return 0;
    }
    const double load = short_load(now);
    const double deviation = std::sqrt(load);
    const double loss_factor = std::clamp(
        (maximum_lost_share - mean_lost_share(now)) / (maximum_lost_share - minimum_lost_share), 0.0, 1.0);
    const double wait_factor =
        std::clamp(1.0 - absl::FDivDuration(long_waiting, maximum_accepted_wait * slots), 0.0, 1.0);
    const double target_by_loss = loss_factor * (load + loss_margin_deviations * deviation);
    const double target_by_wait = wait_factor * (load + wait_margin_deviations * deviation);
    const int target_slots =
        std::max(static_cast<int>(target_by_loss), static_cast<int>(std::round(target_by_wait)));
    return std::min(target_slots, slots - 1);
}

double size_class_policy::short_load(absl::Time now) const {
    return short_load_ * decay_factor(short_load_time_, now, load_decay_time);
}

double size_class_policy::mean_lost_share(absl::Time now) const {
    return current_lost_share_ + (mean_lost_share_ - current_lost_share_) *
                                     decay_factor(lost_share_time_, now, lost_share_decay_time);
}

double size_class_policy::mean_long_share(absl::Time now) const {
    return current_long_share_ + (mean_long_share_ - current_long_share_) *
                                     decay_factor(long_share_time_, now, long_share_decay_time);
}

}  // namespace masticpass
