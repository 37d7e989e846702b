#ifndef MASTICPASS_STANDIN_STORE_STATE_H
#define MASTICPASS_STANDIN_STORE_STATE_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "store/configuration_store.h"

namespace masticpass::standin {

// A key range as etcd defines it: the key `begin` if `end` is empty, all keys from `begin` on if `end` is a
// zero byte, otherwise the keys from `begin` to before `end`.
struct key_range {
    std::string begin;
    std::string end;

    bool contains(std::string_view key) const;
};

struct transaction {
    struct comparison {
        std::string key;
        store_revision revision = 0;
    };
    // Writes the key, or removes it if there is no value.
    struct operation {
        std::string key;
        std::optional<std::string> value;
        lease_id lease = lease_id::none;
    };

    std::vector<comparison> comparisons;
    std::vector<operation> operations;
};

struct transaction_result {
    bool succeeded = false;
    // An operation names a lease that does not exist, so no operation was applied.
    bool lease_missing = false;
    store_revision revision = 0;
};

// In-memory key-value store with revisions, leases and a bounded change history.
// Thread safety: all methods may be called from any thread.
class store_state {
public:
    store_snapshot range(const key_range& keys) const;
    // Returns the current value of a key, even while `range` returns old data; nullopt if the key does not
    // exist.
    std::optional<std::string> current_value(std::string_view key) const;
    // Applies the operations if each compared key has the expected revision, which is 0 for a key that does
    // not exist.
    transaction_result transact(const transaction& request);

    lease_id grant_lease(absl::Duration time_to_live, absl::Time now);
    // Renews a lease. Returns its time to live, or nullopt if the lease does not exist.
    std::optional<absl::Duration> renew_lease(lease_id lease, absl::Time now);
    // Removes the leases that expired before `now`, with their keys.
    void expire_leases(absl::Time now);
    // Removes a lease and its keys.
    void revoke_lease(lease_id lease);

    // Blocks until a key of the range has changed after `after_revision`, the timeout passes or `cancelled`
    // returns true.
    watch_result wait_for_changes(const key_range& keys, store_revision after_revision,
                                  absl::Duration timeout, const std::function<bool()>& cancelled) const;
    // Makes blocked calls of `wait_for_changes` evaluate `cancelled` again.
    void wake() const;

    // Discards the change history.
    void compact();
    // While set, `range` returns the data that the store had when this was set.
    void set_old_data(bool old_data);
    store_revision revision() const;

private:
    using entry_map = std::map<std::string, store_entry, std::less<>>;
    struct lease_record {
        absl::Duration time_to_live;
        absl::Time expiry;
        std::set<std::string> keys;
    };
    struct frozen_data {
        entry_map entries;
        store_revision revision = 0;
    };

    void put(const transaction::operation& operation) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void remove(const std::string& key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void remove_lease(lease_id lease) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void unbind_from_lease(const store_entry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void add_change(store_change change) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    // Returns the changes after `after_revision`, or that they were compacted.
    watch_result find_changes(const key_range& keys, store_revision after_revision) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    mutable absl::Mutex mutex_;
    entry_map entries_ ABSL_GUARDED_BY(mutex_);
    store_revision revision_ ABSL_GUARDED_BY(mutex_) = 1;
    std::deque<store_change> history_ ABSL_GUARDED_BY(mutex_);
    std::size_t history_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
    // Changes up to this revision are no longer in the history.
    store_revision compacted_revision_ ABSL_GUARDED_BY(mutex_) = 0;
    std::map<lease_id, lease_record> leases_ ABSL_GUARDED_BY(mutex_);
    std::int64_t last_lease_ ABSL_GUARDED_BY(mutex_) = 1000;
    std::optional<frozen_data> old_data_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass::standin

#endif
