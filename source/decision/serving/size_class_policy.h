#ifndef MASTICPASS_DECISION_SERVING_SIZE_CLASS_POLICY_H
#define MASTICPASS_DECISION_SERVING_SIZE_CLASS_POLICY_H

#include <absl/time/time.h>

namespace masticpass {

// Divides the slots of one service between short and long work: slots kept free for short work by its
// measured load, and a guaranteed share for long work. Thread safety: none; the caller holds a lock. `now`
// must not go back.
class size_class_policy {
public:
    explicit size_class_policy(double long_share);

    // Records that short work with this expected slot time arrived.
    void record_short_arrival(absl::Duration work, absl::Time now);

    // Records the slots in use from `now` on.
    void record_running(int long_running, int slots, absl::Time now);

    // Records the slots that stay free from `now` on, and whether long work waits for them.
    void record_free_slots(int free_slots, int slots, bool long_waits, absl::Time now);

    // Whether long work may take a slot while no short work waits. `long_waiting` is the expected slot time
    // of the queued long work.
    bool long_may_start(int long_running, absl::Duration long_waiting, int slots, absl::Time now) const;

    // Whether long work is to go before waiting short work.
    bool is_long_below_share(int long_running, int slots, absl::Time now) const;

    // Slots that long work leaves to short work. Fewer while both much long work waits and much capacity was
    // lost by that.
    int slots_reserved_for_short(absl::Duration long_waiting, int slots, absl::Time now) const;

private:
    double short_load(absl::Time now) const;
    double mean_long_share(absl::Time now) const;
    double mean_lost_share(absl::Time now) const;

    double guaranteed_long_share_;
    // Mean slots that short work asks for, at `load_time_`.
    double short_load_ = 0.0;
    absl::Time short_load_time_ = absl::InfinitePast();
    // Mean share of the slots that long work had, at `use_time_`; since then it has `present_use_`.
    double mean_long_share_ = 0.0;
    double current_long_share_ = 0.0;
    absl::Time long_share_time_ = absl::InfinitePast();
    // Mean share of the slots kept from waiting long work less the share that nothing waited for, at
    // `lost_time_`; since then it is `present_lost_`. Only what exceeds the idle capacity lowers the
    // throughput.
    double mean_lost_share_ = 0.0;
    double current_lost_share_ = 0.0;
    absl::Time lost_share_time_ = absl::InfinitePast();
};

}  // namespace masticpass

#endif
