#ifndef MASTICPASS_JOBS_FENCED_WRITER_H
#define MASTICPASS_JOBS_FENCED_WRITER_H

#include <atomic>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <tl/expected.hpp>

#include "store/transactional_store.h"
#include "telemetry/metrics.h"

namespace masticpass {

// Writes to the store on behalf of the owner of a shard. Every transaction expects the owner key at its last
// known revision and rewrites the key. A write of an earlier owner therefore fails after a takeover, and a
// repeated or delayed write of this owner cannot overwrite a later one. Ownership: borrows the store and the
// metrics. Thread safety: all methods may be called from any thread; transactions run one at a time.
class fenced_writer {
public:
    // A key of the owner that fences the writes, as this writer last knew it.
    struct owner_key {
        std::string key = {};
        std::string value = {};
        lease_id lease = lease_id::none;
        // Revision at which the key was created. It is the owner's fencing token.
        store_revision create_revision = 0;
        // Revision of the last write of the key.
        store_revision last_revision = 0;
    };
    enum class write_error {
        superseded,  // The term has ended; no later write can succeed.
        unavailable  // The store does not respond, or the outcome is unknown after all attempts.
    };

    // Maximum number of writes and removals in one transaction, in addition to the owner key.
    static constexpr std::size_t maximum_entries_per_transaction = transactional_store::maximum_entries - 2;

    fenced_writer(transactional_store& store, owner_key owner, metrics_registry& metrics)
        : store_(store), metrics_(metrics), owner_(std::move(owner)) {}

    // Applies all changes, in several transactions if necessary. After `unavailable` some of them may have
    // taken effect or may still take effect; the caller writes them again, or writes later values of the same
    // keys.
    tl::expected<void, write_error> write(std::vector<store_write> writes, std::vector<std::string> removals);
    // Returns whether a write has found that the term has ended. Does not wait for writes in progress.
    bool is_superseded() const { return is_superseded_; }

private:
    // Reads the last revision of the owner key after a transaction with an unknown outcome or a conflict.
    tl::expected<void, write_error> refresh_owner_revision() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    // Applies the changes in one transaction. After a conflict or an unknown outcome it is repeated, unless
    // the owner key shows that it has taken effect.
    tl::expected<void, write_error> transact(std::span<store_write> writes, std::span<std::string> removals)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    transactional_store& store_;
    metrics_registry& metrics_;
    absl::Mutex mutex_;
    owner_key owner_ ABSL_GUARDED_BY(mutex_);
    // A transaction that was given up may still take effect. Cleared when a later one has taken effect, since
    // that changes the revision that the earlier one expects.
    bool has_unresolved_transaction_ ABSL_GUARDED_BY(mutex_) = false;
    std::atomic<bool> is_superseded_ = false;
};

}  // namespace masticpass

#endif
