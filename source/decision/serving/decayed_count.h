#ifndef MASTICPASS_DECISION_SERVING_DECAYED_COUNT_H
#define MASTICPASS_DECISION_SERVING_DECAYED_COUNT_H

#include <cmath>

#include <absl/time/time.h>

namespace masticpass {

// A sum whose terms decay exponentially with age. `now` must not decrease between calls. Thread safety: none.
class decayed_count {
public:
    void add(double amount, absl::Time now, absl::Duration decay_time) {
        value_ = value(now, decay_time) + amount;
        time_ = now;
    }

    double value(absl::Time now, absl::Duration decay_time) const {
        return value_ == 0.0 ? 0.0 : value_ * std::exp(-absl::FDivDuration(now - time_, decay_time));
    }

private:
    double value_ = 0.0;
    absl::Time time_ = absl::InfinitePast();
};

}  // namespace masticpass

#endif
