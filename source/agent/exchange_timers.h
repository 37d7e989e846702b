#ifndef MASTICPASS_AGENT_EXCHANGE_TIMERS_H
#define MASTICPASS_AGENT_EXCHANGE_TIMERS_H

#include <map>
#include <string>

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

namespace masticpass {

// When this end of each pair of entry VMs starts the next exchange of heartbeats. Both ends of a pair restart
// their timer after every exchange with a random time, so each starts about half of the exchanges.
// Ownership: borrows the random source. Thread safety: none; the random source must not be used by others
// during a call.
class exchange_timers {
public:
    // `interval` must be positive. The time of a timer is uniform in `interval` +/- 20%.
    exchange_timers(absl::Duration interval, absl::BitGenRef random);

    // Sets the timer of a peer, to be called after each exchange with it.
    void restart(const std::string& address, absl::Time now);
    // Time until the timer of a peer ends; zero if it has ended or was never set.
    absl::Duration time_remaining(const std::string& address, absl::Time now) const;

private:
    const absl::Duration interval_;
    absl::BitGenRef random_;
    std::map<std::string, absl::Time> end_times_;
};

}  // namespace masticpass

#endif
