#ifndef MASTICPASS_AGENT_RECORD_CACHE_H
#define MASTICPASS_AGENT_RECORD_CACHE_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "peer/record.h"

namespace masticpass {

// Caches the newest known version of each store record, received from the store or from peers. The revision
// of a record never decreases. Thread safety: all methods may be called from any thread.
class record_cache {
public:
    // `on_change` is called with each accepted record, without a lock held.
    explicit record_cache(std::function<void(const record&)> on_change) : on_change_(std::move(on_change)) {}

    // Accepts a record unless a version with the same or a higher revision is cached. An empty value marks a
    // removed record. Returns whether the record was accepted.
    bool offer(const record& offered);

    // Returns the record; nullopt if it is unknown or removed.
    std::optional<record> find(const std::string& key) const;
    // Returns the records whose key starts with `prefix`, without removed ones.
    std::vector<record> with_prefix(std::string_view prefix) const;
    // Returns the records with a higher revision than `revision`, including removed ones.
    std::vector<record> after(std::uint64_t revision) const;
    // Returns the highest revision of all records; 0 if there are none.
    std::uint64_t revision() const;

private:
    const std::function<void(const record&)> on_change_;
    mutable absl::Mutex mutex_;
    std::map<std::string, record, std::less<>> records_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace masticpass

#endif
