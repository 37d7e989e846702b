#ifndef MASTICPASS_DECISION_SERVING_SIZE_CLASS_POLICY_H
#define MASTICPASS_DECISION_SERVING_SIZE_CLASS_POLICY_H

#include <absl/time/time.h>

namespace masticpass {

// Divides the slots of one service between short and long work. It reserves slots for short work according
// to the measured load of short work, and guarantees a share of the slots to long work. Thread safety: none;
// the caller holds a lock. `now` must not decrease between calls.
class size_class_policy {
public:
    explicit size_class_policy(double long_share);

    // Records the arrival of short work with this expected slot time.
    void record_short_arrival(absl::Duration work, absl::Time now);

    // Records the number of slots that run long work from `now` on.
    void record_running(int long_running, int slots, absl::Time now);

    // Records the number of slots that stay free from `now` on, and whether long work is queued meanwhile.
    void record_free_slots(int free_slots, int slots, bool long_waits, absl::Time now);

    // Whether long work may take a slot while no short work is queued. `long_waiting` is the expected slot
    // time of the queued long work.
    bool long_may_start(int long_running, absl::Duration long_waiting, int slots, absl::Time now) const;

    // Whether long work has less than its guaranteed share and is dispatched before queued short work.
    bool is_long_below_share(int long_running, int slots, absl::Time now) const;

    // Number of slots that long work leaves to short work. The number decreases while much long work is
    // queued and the reserved slots have wasted much capacity.
    int slots_reserved_for_short(absl::Duration long_waiting, int slots, absl::Time now) const;

private:
    double short_load(absl::Time now) const;
    double mean_long_share(absl::Time now) const;
    double mean_lost_share(absl::Time now) const;

    double guaranteed_long_share_;
    // Mean number of slots that short work needs, as of `short_load_time_`.
    double short_load_ = 0.0;
    absl::Time short_load_time_ = absl::InfinitePast();
    // Mean share of the slots used by long work, as of `long_share_time_`. The share has been
    // `current_long_share_` since then.
    double mean_long_share_ = 0.0;
    double current_long_share_ = 0.0;
    absl::Time long_share_time_ = absl::InfinitePast();
    // Mean share of the slots that stay free while long work is queued, minus the share that stays free while
    // none is queued, as of `lost_share_time_`. The value has been `current_lost_share_` since then. The idle
    // share is subtracted because reserved slots lower the throughput only beyond the idle capacity.
    double mean_lost_share_ = 0.0;
    double current_lost_share_ = 0.0;
    absl::Time lost_share_time_ = absl::InfinitePast();
};

}  // namespace masticpass

#endif
