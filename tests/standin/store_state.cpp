#include "standin/store_state.h"

#include <algorithm>
#include <utility>

namespace masticpass::standin {

namespace {

constexpr std::size_t maximum_history_bytes = std::size_t{64} << 20U;

}  // namespace

bool key_range::contains(std::string_view key) const {
    if (end.empty()) {
        return key == begin;
    }
    const bool has_no_upper_bound = end == std::string_view("\0", 1);
    return key >= begin && (has_no_upper_bound || key < end);
}

store_snapshot store_state::range(const key_range& keys) const {
    const absl::MutexLock lock(&mutex_);
    const entry_map& entries = old_data_ ? old_data_->entries : entries_;
    store_snapshot snapshot;
    snapshot.revision = old_data_ ? old_data_->revision : revision_;
    for (auto entry = entries.lower_bound(keys.begin); entry != entries.end(); ++entry) {
        if (!keys.contains(entry->first)) {
            break;
        }
        snapshot.entries.push_back(entry->second);
    }
    return snapshot;
}

std::optional<std::string> store_state::current_value(std::string_view key) const {
    const absl::MutexLock lock(&mutex_);
    const auto entry = entries_.find(key);
    return entry == entries_.end() ? std::nullopt : std::optional(entry->second.value);
}

transaction_result store_state::transact(const transaction& request) {
    const absl::MutexLock lock(&mutex_);
    for (const auto& comparison : request.comparisons) {
        const auto entry = entries_.find(comparison.key);
        const store_revision current_revision = entry == entries_.end() ? 0 : entry->second.revision;
        if (current_revision != comparison.revision) {
            return {.revision = revision_};
        }
    }
    for (const auto& operation : request.operations) {
        if (operation.lease != lease_id::none && leases_.count(operation.lease) == 0) {
            return {.lease_missing = true, .revision = revision_};
        }
    }
    ++revision_;
    for (const auto& operation : request.operations) {
        if (operation.value) {
            put(operation);
        } else {
            remove(operation.key);
        }
    }
    return {.succeeded = true, .revision = revision_};
}

void store_state::put(const transaction::operation& operation) {
    store_entry& entry = entries_[operation.key];
    unbind_from_lease(entry);
    entry = {.key = operation.key,
             .value = operation.value.value_or(""),
             .revision = revision_,
             .lease = operation.lease,
             .created = entry.created == 0 ? revision_ : entry.created};
    if (operation.lease != lease_id::none) {
        leases_.at(operation.lease).keys.insert(operation.key);
    }
    add_change({.entry = entry});
}

void store_state::remove(const std::string& key) {
    const auto entry = entries_.find(key);
    if (entry == entries_.end()) {
        return;
    }
    unbind_from_lease(entry->second);
    entries_.erase(entry);
    store_change change;
    change.removed = true;
    change.entry.key = key;
    change.entry.revision = revision_;
    add_change(std::move(change));
}

void store_state::unbind_from_lease(const store_entry& entry) {
    const auto lease = leases_.find(entry.lease);
    if (lease != leases_.end()) {
        lease->second.keys.erase(entry.key);
    }
}

void store_state::add_change(store_change change) {
    history_bytes_ += change.entry.key.size() + change.entry.value.size();
    history_.push_back(std::move(change));
    while (history_bytes_ > maximum_history_bytes) {
        const store_entry& oldest = history_.front().entry;
        compacted_revision_ = oldest.revision;
        history_bytes_ -= oldest.key.size() + oldest.value.size();
        history_.pop_front();
    }
}

lease_id store_state::grant_lease(absl::Duration time_to_live, absl::Time now) {
    const absl::MutexLock lock(&mutex_);
    const auto lease = static_cast<lease_id>(++last_lease_);
    leases_[lease] = {.time_to_live = time_to_live, .expiry = now + time_to_live, .keys = {}};
    return lease;
}

std::optional<absl::Duration> store_state::renew_lease(lease_id lease, absl::Time now) {
    const absl::MutexLock lock(&mutex_);
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return std::nullopt;
    }
    found->second.expiry = now + found->second.time_to_live;
    return found->second.time_to_live;
}

void store_state::expire_leases(absl::Time now) {
    const absl::MutexLock lock(&mutex_);
    std::vector<lease_id> expired;
    for (const auto& [lease, record] : leases_) {
        if (record.expiry < now) {
            expired.push_back(lease);
        }
    }
    for (const lease_id lease : expired) {
        remove_lease(lease);
    }
}

void store_state::revoke_lease(lease_id lease) {
    const absl::MutexLock lock(&mutex_);
    remove_lease(lease);
}

void store_state::remove_lease(lease_id lease) {
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return;
    }
    const std::set<std::string> keys = std::move(found->second.keys);
    leases_.erase(found);
    if (!keys.empty()) {
        ++revision_;
    }
    for (const std::string& key : keys) {
        remove(key);
    }
}

watch_result store_state::find_changes(const key_range& keys, store_revision after_revision) const {
    watch_result result;
    result.revision = after_revision;
    if (after_revision < compacted_revision_) {
        result.compacted = true;
        return result;
    }
    const auto first = std::upper_bound(
        history_.begin(), history_.end(), after_revision,
        [](store_revision value, const store_change& change) { return value < change.entry.revision; });
    for (auto change = first; change != history_.end(); ++change) {
        if (keys.contains(change->entry.key)) {
            result.changes.push_back(*change);
            result.revision = change->entry.revision;
        }
    }
    return result;
}

watch_result store_state::wait_for_changes(const key_range& keys, store_revision after_revision,
                                           absl::Duration timeout,
                                           const std::function<bool()>& cancelled) const {
    const absl::MutexLock lock(&mutex_);
    // The condition may be evaluated several times and by other threads, so it has no side effects.
    const auto done = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
        const watch_result result = find_changes(keys, after_revision);
        return cancelled() || result.compacted || !result.changes.empty();
    };
    mutex_.AwaitWithTimeout(absl::Condition(&done), timeout);
    return find_changes(keys, after_revision);
}

void store_state::wake() const {
    // Abseil evaluates the conditions of waiting threads when the mutex is released.
    const absl::MutexLock lock(&mutex_);
}

void store_state::compact() {
    const absl::MutexLock lock(&mutex_);
    history_.clear();
    history_bytes_ = 0;
    compacted_revision_ = revision_;
}

void store_state::set_old_data(bool old_data) {
    const absl::MutexLock lock(&mutex_);
    if (old_data) {
        old_data_ = frozen_data{.entries = entries_, .revision = revision_};
    } else {
        old_data_.reset();
    }
}

store_revision store_state::revision() const {
    const absl::MutexLock lock(&mutex_);
    return revision_;
}

}  // namespace masticpass::standin
