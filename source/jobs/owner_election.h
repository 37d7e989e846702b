#ifndef MASTICPASS_JOBS_OWNER_ELECTION_H
#define MASTICPASS_JOBS_OWNER_ELECTION_H

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <absl/random/random.h>
#include <absl/time/time.h>
#include <tl/expected.hpp>

#include "decision/jobs/owner_preference.h"
#include "jobs/shard_owner.h"

namespace masticpass {

// Takes part in the election of the owner of a shard of jobs on behalf of one entry VM. While the store has
// no owner key of the shard, it tries to create the key, bound to a lease, and then runs a term as the owner.
// The revision at which the key is created is the fencing token, so the token increases with each owner.
// Ownership: borrows the dependencies; owns the current term. Thread safety: `is_owner` may be called from
// any thread; `stop` must be called on one thread.
class owner_election {
public:
    // `name` identifies this process and must be unique among all processes that ever take part.
    owner_election(const shard_owner_dependencies& dependencies, const shard_owner::options& options,
                   std::string name);
    owner_election(const owner_election&) = delete;
    owner_election& operator=(const owner_election&) = delete;
    ~owner_election();

    // Hands the shard over if this process owns it, and leaves the election. Idempotent.
    void stop();

    // Returns whether this process owns the shard now.
    bool is_owner() const;

private:
    void run_election();
    // Destroys a term that has ended, hands the shard over if requested, or tries to acquire it.
    void run_election_round();
    bool is_stop_requested() const;
    // Waits until `stop` is called or the duration has passed.
    void wait_for_stop(absl::Duration duration);
    // Starts a term as the owner if the shard has no owner, and otherwise may request the shard from its
    // owner.
    void try_acquire();
    // Hands the shard over if a larger VM has requested it. Precondition: this process owns the shard.
    void hand_over_if_requested();
    // Requests the shard from its owner if the owner's VM is much smaller than this one, once for each owner.
    void request_hand_over_if_larger(const store_entry& owner);
    // Stores this VM's CPU capacity if it is the largest so far. Returns the largest capacity in cores;
    // nullopt if the store cannot be read.
    std::optional<double> update_largest_vm_cores();
    // Creates the keys of the owner and of its partitions, and updates the record of the latest term, in one
    // transaction.
    tl::expected<shard_owner::term, store_error> create_owner_key(lease_id lease, absl::Time granted_at,
                                                                  const store_entry& last_term);
    // Releases the lease of the last term of this process, if the store still has it: after an outage of the
    // store, in which leases may pause, the shard would otherwise have no owner for the rest of that lease.
    // Returns false if the store did not respond.
    bool release_ended_lease();
    // Destroys a term that has ended, on a thread of its own, because the destructor waits for calls in
    // progress.
    void destroy_in_background(std::unique_ptr<shard_owner> ended);

    const shard_owner_dependencies dependencies_;
    const shard_owner::options options_;
    const std::string name_;
    const owner_preference preference_;
    // Time since which this process has seen the shard without an owner; nullopt if the shard had one at the
    // last check.
    std::optional<absl::Time> owner_missing_since_;
    // Fencing token of the last owner that request_hand_over_if_larger() has evaluated.
    fencing_token_value evaluated_fencing_token_ = 0;
    // Lease of a term that has ended but was not released. Used only by the thread.
    std::optional<lease_id> ended_lease_;
    mutable std::mutex mutex_;
    std::condition_variable stop_requested_;
    bool is_stopping_ = false;
    std::unique_ptr<shard_owner> owner_;
    std::vector<std::thread> destruction_threads_;
    absl::BitGen random_;
    std::thread thread_;
};

}  // namespace masticpass

#endif
