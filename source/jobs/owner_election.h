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

// Keeps one entry VM ready to own a shard of jobs: while the shard's owner key is missing in the store it
// creates it, bound to a lease, and then runs a term. The revision of the creation is the fence, so it rises
// with each owner. Ownership: borrows the peers; owns the present term. Thread safety: `stop` on one thread.
class owner_election {
public:
    // `name` identifies this process among all that ever run.
    owner_election(const shard_owner_peers& peers, const shard_owner::options& options, std::string name);
    owner_election(const owner_election&) = delete;
    owner_election& operator=(const owner_election&) = delete;
    ~owner_election();

    // Hands the shard over if this process owns it, and takes no further part. Idempotent.
    void stop();

    bool is_owner() const;

private:
    void loop();
    // Waits until `stop` is called or the time has passed.
    void pause(absl::Duration duration);
    void try_acquire();
    // Lets a shard go that a larger VM has asked for.
    void follow_wish();
    // Asks the owner for the shard if its VM is much smaller. Once for each owner.
    void judge_owner(const store_entry& owner);
    // Records this VM's processor if it is the largest so far. Returns the largest; nullopt without an
    // answer.
    std::optional<double> learn_largest();
    tl::expected<shard_owner::term, store_error> create_owner_key(lease_id lease, absl::Time granted_at,
                                                                  const store_entry& last_term);
    // Gives a term that has ended to a thread that waits for its calls.
    void retire(std::unique_ptr<shard_owner> ended);

    const shard_owner_peers peers_;
    const shard_owner::options options_;
    const std::string name_;
    const owner_preference preference_;
    // Since when this process has seen the shard without an owner.
    std::optional<absl::Time> missing_since_;
    fencing_token judged_fence_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool is_stopping_ = false;
    std::unique_ptr<shard_owner> owner_;
    std::vector<std::thread> retirements_;
    absl::BitGen random_;
    std::thread thread_;
};

}  // namespace masticpass

#endif
