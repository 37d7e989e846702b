#ifndef MASTICPASS_COMMON_CLOCK_H
#define MASTICPASS_COMMON_CLOCK_H

#include <chrono>
#include <ctime>

#include <absl/time/clock.h>
#include <absl/time/time.h>

namespace masticpass {

// Source of the current time. Decision code does not own a clock; it takes the time as an argument.
// Thread safety: all methods may be called from any thread.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    // A time that never decreases. Its offset from wall-clock time is arbitrary.
    virtual absl::Time now() const = 0;
};

// The monotonic clock of this machine.
class monotonic_clock final : public clock {
public:
    absl::Time now() const override {
        return absl::UnixEpoch() + absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
    }
};

// A monotonic clock that also advances while the machine is suspended. Leases are measured with it, since the
// lease also runs for the other party while this machine is suspended.
class boot_clock final : public clock {
public:
    absl::Time now() const override {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return absl::TimeFromTimespec(time);
    }
};

}  // namespace masticpass

#endif
