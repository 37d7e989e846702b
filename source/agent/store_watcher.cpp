#include "agent/store_watcher.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "telemetry/guarded_call.h"

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
        bool is_up_to_date = false;
        call_guarded("watch-store",
                     [&] { is_up_to_date = needs_full_read_ ? read_all() : watch_once(stop); });
        if (is_up_to_date) {
            backoff.reset();
        } else {
            wait_unless_stopped(backoff.next(), stop);
        }
    }
}

bool store_watcher::handle_failure(const store_error& error) {
    is_store_reachable_ = false;
    retries_.count(to_retry_reason(error.kind));
    return false;
}

bool store_watcher::read_all() {
    const auto snapshot = store_.read_prefix(prefix_);
    if (!snapshot) {
        return handle_failure(snapshot.error());
    }
    is_store_reachable_ = true;
    if (snapshot->revision < revision_) {
        retries_.count(retry_reason::old_data);
        return false;
    }
    for (const store_entry& entry : snapshot->entries) {
        deliver({.entry = entry});
    }
    deliver_removals(*snapshot);
    revision_ = snapshot->revision;
    needs_full_read_ = false;
    is_loaded_ = true;
    return true;
}

void store_watcher::deliver_removals(const store_snapshot& snapshot) {
    std::set<std::string> listed;
    for (const store_entry& entry : snapshot.entries) {
        listed.insert(entry.key);
    }
    std::vector<std::string> missing;
    for (const auto& [key, revision] : delivered_revisions_) {
        if (listed.count(key) == 0) {
            missing.push_back(key);
        }
    }
    for (const std::string& key : missing) {
        store_change removal{.entry = {}, .removed = true};
        removal.entry.key = key;
        removal.entry.revision = snapshot.revision;
        deliver(removal);
    }
}

bool store_watcher::watch_once(const std::stop_token& stop) {
    const auto result = store_.watch(prefix_, revision_, options_.watch_timeout, stop);
    if (stop.stop_requested()) {
        return true;
    }
    if (!result) {
        return handle_failure(result.error());
    }
    is_store_reachable_ = true;
    if (result->compacted) {
        retries_.count(retry_reason::compacted);
        needs_full_read_ = true;
        // The delay spreads the reads of watchers that fell behind at the same time.
        return false;
    }
    bool is_up_to_date = true;
    for (const store_change& change : result->changes) {
        is_up_to_date = deliver(change) && is_up_to_date;
    }
    if (!is_up_to_date) {
        retries_.count(retry_reason::old_data);
    }
    revision_ = std::max(revision_, result->revision);
    return is_up_to_date;
}

bool store_watcher::deliver(const store_change& change) {
    const std::string& key = change.entry.key;
    const auto known = delivered_revisions_.find(key);
    // All changes up to `revision_` were delivered, so a key that does not exist now has no later delivered
    // one.
    const store_revision last_delivered = known != delivered_revisions_.end() ? known->second : revision_;
    if (change.entry.revision <= last_delivered) {
        return change.entry.revision == last_delivered;
    }
    if (change.removed) {
        delivered_revisions_.erase(key);
    } else {
        delivered_revisions_[key] = change.entry.revision;
    }
    on_change_(change);
    return true;
}

}  // namespace masticpass
