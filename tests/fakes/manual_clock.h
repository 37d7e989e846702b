#ifndef MASTICPASS_FAKES_MANUAL_CLOCK_H
#define MASTICPASS_FAKES_MANUAL_CLOCK_H

#include <atomic>
#include <cstdint>

#include "common/clock.h"

namespace masticpass::fakes {

// A clock that a test advances.
// Thread safety: all methods may be called from any thread.
class manual_clock final : public clock {
public:
    absl::Time now() const override { return absl::UnixEpoch() + absl::Nanoseconds(nanoseconds_.load()); }
    void advance(absl::Duration time) { nanoseconds_ += absl::ToInt64Nanoseconds(time); }

private:
    std::atomic<std::int64_t> nanoseconds_ = 1'000'000'000;
};

}  // namespace masticpass::fakes

#endif
