#include "decision/serving/response_cache.h"

#include <utility>
#include <vector>

namespace masticpass {
namespace {

// Covers the hash table slot, the control block and the entry in the insertion order, so that the number of
// empty responses is bounded as well.
constexpr std::size_t overhead_per_response = 160;

std::size_t size_of(const stored_response& response) {
    return response.content_type.size() + response.body.size() + overhead_per_response;
}

}  // namespace

response_cache::response_cache(std::size_t maximum_bytes) : maximum_bytes_(maximum_bytes) {}

void response_cache::insert(std::uint64_t sequence, stored_response response) {
    const std::size_t size = size_of(response);
    if (size > maximum_bytes_ || responses_.contains(sequence)) {
        return;
    }
    while (bytes_ + size > maximum_bytes_) {
        erase(insertion_order_.front());
        insertion_order_.pop_front();
    }
    bytes_ += size;
    insertion_order_.push_back(sequence);
    responses_.emplace(sequence, std::make_shared<const stored_response>(std::move(response)));
}

std::shared_ptr<const stored_response> response_cache::find(std::uint64_t sequence) const {
    const auto found = responses_.find(sequence);
    return found == responses_.end() ? nullptr : found->second;
}

void response_cache::erase_before(std::uint64_t first) {
    std::erase_if(insertion_order_, [&](std::uint64_t sequence) {
        if (sequence >= first) {
            return false;
        }
        erase(sequence);
        return true;
    });
}

void response_cache::erase(std::uint64_t sequence) {
    const auto found = responses_.find(sequence);
    if (found == responses_.end()) {
        return;
    }
    bytes_ -= size_of(*found->second);
    responses_.erase(found);
}

}  // namespace masticpass
