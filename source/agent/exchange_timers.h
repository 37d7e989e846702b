#ifndef MASTICPASS_AGENT_EXCHANGE_TIMERS_H
#define MASTICPASS_AGENT_EXCHANGE_TIMERS_H

#include <map>
#include <string>

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

namespace masticpass {

// The timers after which this entry VM starts the next heartbeat exchange with each peer. Both entry VMs of a
// pair restart their timer with a random duration after every exchange, so each starts about half of them.
// Ownership: borrows the random source. Thread safety: none; the random source must not be used by others
// during a call.
class exchange_timers {
public:
    // `interval` must be positive. The duration of a timer is uniformly distributed in `interval` +/- 20%.
    exchange_timers(absl::Duration interval, absl::BitGenRef random);

    // Restarts the timer of a peer. To be called after each exchange with it.
    void restart(const std::string& address, absl::Time now);
    // Returns the time until the timer of a peer ends; zero if it has ended or was never started.
    absl::Duration time_remaining(const std::string& address, absl::Time now) const;

private:
    const absl::Duration interval_;
    absl::BitGenRef random_;
    std::map<std::string, absl::Time> end_times_;
};

}  // namespace masticpass

#endif
