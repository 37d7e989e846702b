#ifndef MASTICPASS_DECISION_SERVING_RESPONSE_CACHE_H
#define MASTICPASS_DECISION_SERVING_RESPONSE_CACHE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "common/verdict.h"

namespace masticpass {

// How a request with an identity ended, as it is sent to a caller that asks again.
struct stored_response {
    verdict outcome = verdict::may_have_run;
    int status = 0;
    std::string content_type;
    std::string body;
};

// Finished responses by sequence number, bounded in bytes; the oldest response goes first.
// Thread safety: none; the caller holds a lock.
class response_cache {
public:
    explicit response_cache(std::size_t max_bytes);

    // Holds the response unless it is larger than the whole cache.
    void insert(std::uint64_t sequence, stored_response response);

    // nullptr if the response is not held.
    std::shared_ptr<const stored_response> find(std::uint64_t sequence) const;

    // Drops all responses with a sequence number below `first`.
    void erase_before(std::uint64_t first);

    std::size_t bytes() const { return bytes_; }

private:
    void erase(std::uint64_t sequence);

    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    // In the order of insertion; may name responses that are already dropped.
    std::deque<std::uint64_t> insertion_order_;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<const stored_response>> responses_;
};

}  // namespace masticpass

#endif
