#ifndef MASTICPASS_AGENT_REGISTRATION_AGENT_H
#define MASTICPASS_AGENT_REGISTRATION_AGENT_H

#include <atomic>
#include <stop_token>
#include <thread>

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include "agent/backoff.h"
#include "agent/conditional_writer.h"
#include "agent/entry_registration.h"
#include "agent/retry_counter.h"
#include "common/clock.h"
#include "store/configuration_store.h"

namespace masticpass {

struct registration_options {
    absl::Duration time_to_live = absl::Seconds(10);
    // Shortened by up to a tenth at random, so that entry VMs started together do not renew together.
    absl::Duration renewal_interval = absl::Seconds(3);
    backoff_options backoff = {};
};

// Keeps the registration of this entry VM in the store under a lease: renews the lease and registers again
// after the lease was lost. The registration of a newer incarnation of the same entry VM is never replaced.
// After a stop the registration ends with its lease.
// Thread safety: all methods may be called from any thread. The arguments of the constructor must outlive the
// object; its thread is the only user of `random`.
class registration_agent {
public:
    registration_agent(configuration_store& store, retry_counter& retries, const clock& time_source,
                       absl::BitGenRef random, entry_registration registration,
                       const registration_options& options = {});
    // Stops the thread. Waits for a store call in progress.
    ~registration_agent();
    registration_agent(const registration_agent&) = delete;
    registration_agent& operator=(const registration_agent&) = delete;

    // Starts the thread. Call once.
    void start();

    // True from the write of the registration until the lease is known to be lost.
    bool is_registered() const { return is_registered_; }

    // False after a call that the store did not answer in time, until it answers one. A waiting watch cannot
    // tell a store that is silent from one without changes.
    bool is_store_answering() const { return is_store_answering_; }

private:
    void run(const std::stop_token& stop);
    // Returns true if the registration stands.
    bool register_entry(const std::stop_token& stop);
    bool grant_lease();
    // Returns false if the lease is lost or the call failed.
    bool renew_lease();
    record_change registration_change() const;
    absl::Duration renewal_delay();

    configuration_store& store_;
    retry_counter& retries_;
    absl::BitGenRef random_;
    const entry_registration registration_;
    const registration_options options_;
    conditional_writer writer_;
    lease_id lease_ = lease_id::none;
    std::atomic<bool> is_registered_ = false;
    std::atomic<bool> is_store_answering_ = true;
    std::jthread thread_;
};

}  // namespace masticpass

#endif
