#ifndef MASTICPASS_AGENT_STORE_WATCHER_H
#define MASTICPASS_AGENT_STORE_WATCHER_H

#include <atomic>
#include <functional>
#include <map>
#include <stop_token>
#include <string>
#include <thread>

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include "agent/backoff.h"
#include "agent/retry_counter.h"
#include "store/configuration_store.h"

namespace masticpass {

struct store_watcher_options {
    // Timeout of a watch call, after which the watcher makes the next one.
    absl::Duration watch_timeout = absl::Seconds(30);
    backoff_options backoff = {};
};

// Delivers the entries of a prefix and their changes to a callback: reads all entries, then watches for
// changes. The revisions that it delivers for an entry increase. A removed entry is delivered with the
// revision of its removal, or of the read that showed it missing. Stale data of the store is counted and
// never delivered. Thread safety: all methods may be called from any thread. The arguments of the constructor
// must outlive the object; no other thread may use `random`.
class store_watcher {
public:
    // Called on the watcher's thread for each changed entry. Must not destroy the watcher.
    using change_callback = std::function<void(const store_change& change)>;

    store_watcher(configuration_store& store, retry_counter& retries, absl::BitGenRef random,
                  std::string prefix, change_callback on_change, const store_watcher_options& options = {});
    // Stops the thread. Ends a waiting watch immediately, and waits for a read in progress.
    ~store_watcher();
    store_watcher(const store_watcher&) = delete;
    store_watcher& operator=(const store_watcher&) = delete;

    // Starts the thread. Must be called only once.
    void start();

    // Returns whether the last completed call to the store was successful.
    bool is_store_reachable() const { return is_store_reachable_; }
    // Returns true once all entries of the prefix have been delivered.
    bool is_loaded() const { return is_loaded_; }

private:
    void run(const std::stop_token& stop);
    // Reads and delivers all entries. Returns false if the next call to the store must be delayed.
    bool read_all();
    // Waits for changes once and delivers them. Returns false if the next call to the store must be delayed.
    bool watch_once(const std::stop_token& stop);
    // Delivers the removal of each delivered entry that is missing in the snapshot.
    void deliver_removals(const store_snapshot& snapshot);
    // Delivers the change if it is newer than the last delivered one of its key. Returns false if it is
    // older.
    bool deliver(const store_change& change);
    // Counts a failed call. Returns false, so that the next call is delayed.
    bool handle_failure(const store_error& error);

    configuration_store& store_;
    retry_counter& retries_;
    absl::BitGenRef random_;
    const std::string prefix_;
    const change_callback on_change_;
    const store_watcher_options options_;
    // The store revision up to which all changes were delivered. Like the two members below, used only by the
    // watcher's thread.
    store_revision revision_ = 0;
    // The last delivered revision of each existing key.
    std::map<std::string, store_revision> delivered_revisions_;
    bool needs_full_read_ = true;
    std::atomic<bool> is_store_reachable_ = false;
    std::atomic<bool> is_loaded_ = false;
    std::jthread thread_;
};

}  // namespace masticpass

#endif
