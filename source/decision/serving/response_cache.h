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

// The final result of a request with an identity, which is sent to a caller that repeats the request.
struct stored_response {
    verdict outcome = verdict::may_have_run;
    int status = 0;
    std::string content_type;
    std::string body;
};

// Cache of final responses by sequence number, bounded in bytes. It evicts the oldest response first.
// Thread safety: none; the caller holds a lock.
class response_cache {
public:
    explicit response_cache(std::size_t maximum_bytes);

    // Stores the response unless it is larger than the whole cache or the sequence number is already present.
    void insert(std::uint64_t sequence, stored_response response);

    // nullptr if the response is not in the cache.
    std::shared_ptr<const stored_response> find(std::uint64_t sequence) const;

    // Removes all responses with a sequence number below `first`.
    void erase_before(std::uint64_t first);

    std::size_t bytes() const { return bytes_; }

private:
    void erase(std::uint64_t sequence);

    std::size_t maximum_bytes_;
    std::size_t bytes_ = 0;
    // Sequence numbers in the order of insertion.
    std::deque<std::uint64_t> insertion_order_;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<const stored_response>> responses_;
};

}  // namespace masticpass

#endif
