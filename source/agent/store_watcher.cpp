#include "agent/store_watcher.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace masticpass {

store_watcher::store_watcher(configuration_store& store, retry_counter& retries, absl::BitGenRef random,
                             std::string prefix, change_callback on_change,
                             const store_watcher_options& options)
    : store_(store),
      retries_(retries),
      random_(random),
      prefix_(std::move(prefix)),
      on_change_(std::move(on_change)),
      options_(options) {}

store_watcher::~store_watcher() = default;

void store_watcher::start() {
    thread_ = std::jthread([this](const std::stop_token& stop) { run(stop); });
}

void store_watcher::run(const std::stop_token& stop) {
    jittered_backoff backoff(options_.backoff, random_);
    while (!stop.stop_requested()) {
        if (must_read_ ? read_all() : watch_once(stop)) {
            backoff.reset();
        } else {
            wait_unless_stopped(backoff.next(), stop);
        }
    }
}

bool store_watcher::fail(const store_error& error) {
    is_store_reachable_ = false;
    retries_.count(to_retry_reason(error.kind));
    return false;
}

bool store_watcher::read_all() {
    const auto snapshot = store_.read_prefix(prefix_);
    if (!snapshot) {
        return fail(snapshot.error());
    }
    is_store_reachable_ = true;
    if (snapshot->revision < revision_) {
        retries_.count(retry_reason::old_data);
        return false;
    }
    for (const store_entry& entry : snapshot->entries) {
        hand_out({.entry = entry});
    }
    hand_out_missing(*snapshot);
    revision_ = snapshot->revision;
    must_read_ = false;
    is_loaded_ = true;
    return true;
}

void store_watcher::hand_out_missing(const store_snapshot& snapshot) {
    std::set<std::string> listed;
    for (const store_entry& entry : snapshot.entries) {
        listed.insert(entry.key);
    }
    std::vector<std::string> missing;
    for (const auto& [key, revision] : present_) {
        if (listed.count(key) == 0) {
            missing.push_back(key);
        }
    }
    for (const std::string& key : missing) {
        store_change removal{.entry = {}, .removed = true};
        removal.entry.key = key;
        removal.entry.revision = snapshot.revision;
        hand_out(removal);
    }
}

bool store_watcher::watch_once(const std::stop_token& stop) {
    const auto result = store_.watch(prefix_, revision_, options_.watch_timeout, stop);
    if (stop.stop_requested()) {
        return true;
    }
    if (!result) {
        return fail(result.error());
    }
    is_store_reachable_ = true;
    if (result->compacted) {
        retries_.count(retry_reason::compacted);
        must_read_ = true;
        // The delay spreads the reads of watchers that all fell behind.
        return false;
    }
    bool is_new = true;
    for (const store_change& change : result->changes) {
        is_new = hand_out(change) && is_new;
    }
    if (!is_new) {
        retries_.count(retry_reason::old_data);
    }
    revision_ = std::max(revision_, result->revision);
    return is_new;
}

bool store_watcher::hand_out(const store_change& change) {
    const std::string& key = change.entry.key;
    const auto known = present_.find(key);
    // All changes up to `revision_` were handed out, so a key that is not present now had no later one.
    const store_revision highest = known != present_.end() ? known->second : revision_;
    if (change.entry.revision <= highest) {
        return change.entry.revision == highest;
    }
    if (change.removed) {
        present_.erase(key);
    } else {
        present_[key] = change.entry.revision;
    }
    on_change_(change);
    return true;
}

}  // namespace masticpass
