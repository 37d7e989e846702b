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

// A range of keys as etcd defines it: one key if `end` is empty, all keys from `begin` if `end` is a zero
// byte.
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
    // Removes the key if there is no value.
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
    // An operation named a lease that does not exist; nothing was applied.
    bool lease_missing = false;
    store_revision revision = 0;
};

// A versioned key-value store in memory with leases and a bounded history of changes.
// Thread safety: all methods may be called from any thread.
class store_state {
public:
    store_snapshot range(const key_range& keys) const;
    // The present value of a key, also while `range` returns old data.
    std::optional<std::string> current_value(std::string_view key) const;
    transaction_result transact(const transaction& request);

    lease_id grant_lease(absl::Duration time_to_live, absl::Time now);
    // Returns the time to live, or nullopt if the lease does not exist.
    std::optional<absl::Duration> renew_lease(lease_id lease, absl::Time now);
    // Removes the leases that ended before `now`, and their keys.
    void expire_leases(absl::Time now);
    // Removes one lease and its keys.
    void revoke_lease(lease_id lease);

    // Blocks until a key of the range changed after `after_revision`, the timeout passes or `cancelled` is
    // true.
    watch_result wait_for_changes(const key_range& keys, store_revision after_revision,
                                  absl::Duration timeout, const std::function<bool()>& cancelled) const;
    // Makes waiting calls evaluate `cancelled` again.
    void wake() const;

    // Discards the history of changes.
    void compact();
    // While set, `range` returns the data of the moment at which it was set.
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
    // The changes after `after_revision`, or whether they are compacted.
    watch_result find_changes(const key_range& keys, store_revision after_revision) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    mutable absl::Mutex mutex_;
    entry_map entries_ ABSL_GUARDED_BY(mutex_);
    store_revision revision_ ABSL_GUARDED_BY(mutex_) = 1;
    std::deque<store_change> history_ ABSL_GUARDED_BY(mutex_);
    std::size_t history_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
    // Changes up to this revision are not in the history.
    store_revision compacted_revision_ ABSL_GUARDED_BY(mutex_) = 0;
    std::map<lease_id, lease_record> leases_ ABSL_GUARDED_BY(mutex_);
    std::int64_t last_lease_ ABSL_GUARDED_BY(mutex_) = 1000;
    std::optional<frozen_data> old_data_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass::standin

#endif
