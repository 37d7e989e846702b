#include "agent/record_cache.h"

#include <algorithm>

namespace masticpass {

bool record_cache::offer(const record& offered) {
    {
        const absl::MutexLock lock(&mutex_);
        record& cached = records_[offered.key];
        if (offered.revision <= cached.revision) {
            return false;
        }
        cached = offered;
        revision_ = std::max(revision_, offered.revision);
    }
    on_change_(offered);
    return true;
}

std::optional<record> record_cache::find(const std::string& key) const {
    const absl::MutexLock lock(&mutex_);
    const auto found = records_.find(key);
    if (found == records_.end() || found->second.value.empty()) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<record> record_cache::with_prefix(std::string_view prefix) const {
    const absl::MutexLock lock(&mutex_);
    std::vector<record> result;
    for (auto entry = records_.lower_bound(prefix); entry != records_.end(); ++entry) {
        if (!entry->first.starts_with(prefix)) {
            break;
        }
        if (!entry->second.value.empty()) {
            result.push_back(entry->second);
        }
    }
    return result;
}

std::vector<record> record_cache::after(std::uint64_t revision) const {
    const absl::MutexLock lock(&mutex_);
    std::vector<record> result;
    for (const auto& [key, cached] : records_) {
        if (cached.revision > revision) {
            result.push_back(cached);
        }
    }
    return result;
}

std::uint64_t record_cache::revision() const {
    const absl::MutexLock lock(&mutex_);
    return revision_;
}

}  // namespace masticpass
