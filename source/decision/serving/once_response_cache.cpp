#include "decision/serving/once_response_cache.h"

#include <utility>
#include <vector>

namespace masticpass {
namespace {

// Covers the hash table slot, the control block and the place in the order, so that many empty responses are
// bounded as well.
constexpr std::size_t overhead_per_response = 160;

std::size_t size_of(const once_response& response) {
    return response.content_type.size() + response.body.size() + overhead_per_response;
}

}  // namespace

once_response_cache::once_response_cache(std::size_t largest_bytes) : largest_bytes_(largest_bytes) {}

void once_response_cache::insert(std::uint64_t sequence, once_response response) {
    const std::size_t size = size_of(response);
    if (size > largest_bytes_ || held_.contains(sequence)) {
        return;
    }
    while (bytes_ + size > largest_bytes_) {
        drop(order_.front());
        order_.pop_front();
    }
    bytes_ += size;
    order_.push_back(sequence);
    held_.emplace(sequence, std::make_shared<const once_response>(std::move(response)));
}

std::shared_ptr<const once_response> once_response_cache::find(std::uint64_t sequence) const {
    const auto found = held_.find(sequence);
    return found == held_.end() ? nullptr : found->second;
}

void once_response_cache::drop_before(std::uint64_t first) {
    std::erase_if(order_, [&](std::uint64_t sequence) {
        if (sequence >= first) {
            return false;
        }
        drop(sequence);
        return true;
    });
}

void once_response_cache::drop(std::uint64_t sequence) {
    const auto found = held_.find(sequence);
    if (found == held_.end()) {
        return;
    }
    bytes_ -= size_of(*found->second);
    held_.erase(found);
}

}  // namespace masticpass
