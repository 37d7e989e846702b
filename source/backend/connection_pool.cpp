#include "backend/connection_pool.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <absl/hash/hash.h>

namespace masticpass {

connection_pool::connection_pool(absl::Duration idle_timeout, std::size_t maximum_idle_connections_per_server)
    : idle_timeout_(idle_timeout),
      maximum_idle_connections_per_server_(maximum_idle_connections_per_server) {}

connection_pool::shard& connection_pool::shard_of(const std::string& address) {
    return shards_.at(absl::HashOf(address) % shard_count);
}

idle_connection connection_pool::take(std::string_view address, absl::Time now) {
    const std::string key(address);
    // Closed after the lock is released, since closing a socket can take a while.
    std::vector<idle_entry> stale;
    shard& owner = shard_of(key);
    const absl::MutexLock lock(&owner.mutex);
    const auto found = owner.idle.find(key);
    if (found == owner.idle.end()) {
        return {};
    }
    std::vector<idle_entry>& entries = found->second;
    while (!entries.empty()) {
        idle_entry entry = std::move(entries.back());
        entries.pop_back();
        if (now - entry.since <= idle_timeout_ && entry.link->is_reusable()) {
            return {std::move(entry.link), now - entry.since};
        }
        stale.push_back(std::move(entry));
    }
    owner.idle.erase(found);
    return {};
}

void connection_pool::put_back(std::string_view address, std::unique_ptr<connection> link, absl::Time now) {
    const std::string key(address);
    shard& owner = shard_of(key);
    const absl::MutexLock lock(&owner.mutex);
    std::vector<idle_entry>& entries = owner.idle[key];
    if (entries.size() < maximum_idle_connections_per_server_) {
        entries.push_back({std::move(link), now});
    }
}

void connection_pool::close_stale(absl::Time now) {
    for (shard& owner : shards_) {
        std::vector<idle_entry> closed;
        const absl::MutexLock lock(&owner.mutex);
        for (auto& [address, entries] : owner.idle) {
            const auto is_fresh = [&](const idle_entry& entry) { return now - entry.since <= idle_timeout_; };
            const auto first_stale = std::stable_partition(entries.begin(), entries.end(), is_fresh);
            std::move(first_stale, entries.end(), std::back_inserter(closed));
            entries.erase(first_stale, entries.end());
        }
        absl::erase_if(owner.idle, [](const auto& item) { return item.second.empty(); });
    }
}

void connection_pool::discard(std::string_view address) {
    const std::string key(address);
    std::vector<idle_entry> closed;
    shard& owner = shard_of(key);
    const absl::MutexLock lock(&owner.mutex);
    const auto found = owner.idle.find(key);
    if (found != owner.idle.end()) {
        closed = std::move(found->second);
        owner.idle.erase(found);
    }
}

}  // namespace masticpass
