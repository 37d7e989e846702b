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
    // Time of one watch call; each is one call to the store.
    absl::Duration watch_timeout = absl::Seconds(30);
    backoff_options backoff = {};
};

// Keeps a reader up to date on the entries of a prefix: reads them, then watches for changes.
// The reader gets every entry with increasing revisions, and a removed one with the revision of its removal
// or of the read that showed it missing. Old data of the store is counted and never handed out. Thread
// safety: all methods may be called from any thread. The arguments of the constructor must outlive the
// object; its thread is the only user of `random`.
class store_watcher {
public:
    // Called from the watcher's thread for each changed entry. Must not destroy the watcher.
    using change_callback = std::function<void(const store_change& change)>;

    store_watcher(configuration_store& store, retry_counter& retries, absl::BitGenRef random,
                  std::string prefix, change_callback on_change, const store_watcher_options& options = {});
    // Stops the thread. Ends a waiting watch at once, and waits for a read in progress.
    ~store_watcher();
    store_watcher(const store_watcher&) = delete;
    store_watcher& operator=(const store_watcher&) = delete;

    // Starts the thread. Call once.
    void start();

    // True if the last call that ended was successful.
    bool is_store_reachable() const { return is_store_reachable_; }
    // True once all entries of the prefix have been handed out.
    bool is_loaded() const { return is_loaded_; }

private:
    void run(const std::stop_token& stop);
    // Both return false if the next step needs a delay.
    bool read_all();
    bool watch_once(const std::stop_token& stop);
    void deliver_removals(const store_snapshot& snapshot);
    // Returns false if the change is older than what was handed out.
    bool deliver(const store_change& change);
    bool handle_failure(const store_error& error);

    configuration_store& store_;
    retry_counter& retries_;
    absl::BitGenRef random_;
    const std::string prefix_;
    const change_callback on_change_;
    const store_watcher_options options_;
    // The rest is used by the thread only.
    // Revision of the store up to which all changes were handed out.
    store_revision revision_ = 0;
    // Highest revision handed out of each present key.
    std::map<std::string, store_revision> delivered_revisions_;
    bool needs_full_read_ = true;
    std::atomic<bool> is_store_reachable_ = false;
    std::atomic<bool> is_loaded_ = false;
    std::jthread thread_;
};

}  // namespace masticpass

#endif
