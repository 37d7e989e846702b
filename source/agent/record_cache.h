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

// The newest version of each store record that this entry VM has seen, from the store or from peers. The
// revision of a record never goes down. Thread safety: all methods may be called from any thread.
class record_cache {
public:
    // `changed` is called without a lock held, with each record that became newer.
    explicit record_cache(std::function<void(const record&)> on_change) : on_change_(std::move(on_change)) {}

    // Takes a record unless a version of the same or a higher revision is held. An empty value marks a
    // removed record. True if it was taken.
    bool offer(const record& offered);

    std::optional<record> find(const std::string& key) const;
    // Records whose key starts with `prefix`, without removed ones.
    std::vector<record> with_prefix(std::string_view prefix) const;
    // Records above the revision, with removed ones.
    std::vector<record> after(std::uint64_t revision) const;
    // Highest revision of any record; 0 if there is none.
    std::uint64_t revision() const;

private:
    const std::function<void(const record&)> on_change_;
    mutable absl::Mutex mutex_;
    std::map<std::string, record, std::less<>> records_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace masticpass

#endif
