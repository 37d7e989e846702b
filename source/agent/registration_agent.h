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
    // Shortened by a random amount of up to 10%, so that entry VMs that were started together do not renew
    // their leases together.
    absl::Duration renewal_interval = absl::Seconds(3);
    backoff_options backoff = {};
};

// Registers this entry VM in the store under a lease. Renews the lease, and registers the entry VM again if
// the lease was lost. Never replaces the registration of a newer incarnation of the same entry VM. After a
// stop, the registration is removed when its lease expires.
// Thread safety: all methods may be called from any thread. The arguments of the constructor must outlive the
// object; no other thread may use `random`.
class registration_agent {
public:
    registration_agent(configuration_store& store, retry_counter& retries, const clock& time_source,
                       absl::BitGenRef random, entry_registration registration,
                       const registration_options& options = {});
    // Stops the thread, and waits for a store call in progress.
    ~registration_agent();
    registration_agent(const registration_agent&) = delete;
    registration_agent& operator=(const registration_agent&) = delete;

    // Starts the thread. Must be called only once.
    void start();

    // Returns true from the write of the registration until the lease is known to be lost.
    bool is_registered() const { return is_registered_; }

    // Returns false after a lease call to which the store did not respond, until it responds to one. The
    // response that a lease has expired counts as well. This is determined from lease calls because a waiting
    // watch does not show whether the store is unresponsive or has no changes.
    bool is_store_responding() const { return is_store_responding_; }

private:
    void run(const std::stop_token& stop);
    // Writes the registration. Returns whether the store contains it.
    bool register_entry(const std::stop_token& stop);
    bool grant_lease();
    // Returns false if the lease is lost or the call failed.
    bool renew_lease();
    // The write of the registration under the current lease.
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
    std::atomic<bool> is_store_responding_ = true;
    std::jthread thread_;
};

}  // namespace masticpass

#endif
