#include "decision/membership/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include <xxhash.h>

namespace masticpass {

namespace {

// Sorted by descending score; equal scores are ordered by id.
using scored_entry = std::pair<std::uint64_t, std::string>;

scored_entry score(std::uint64_t key_hash, const entry_id& candidate) {
    const std::string& id = candidate.value();
    return {XXH3_64bits_withSeed(id.data(), id.size(), key_hash), id};
}

}  // namespace

std::optional<entry_id> rendezvous_owner(std::string_view key, absl::Span<const entry_id> candidates) {
    const std::uint64_t key_hash = XXH3_64bits(key.data(), key.size());
    std::optional<scored_entry> best;
    for (const entry_id& candidate : candidates) {
        scored_entry scored = score(key_hash, candidate);
        if (!best || scored > *best) {
            best = std::move(scored);
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return entry_id(best->second);
}

std::vector<entry_id> rendezvous_order(std::string_view key, absl::Span<const entry_id> candidates) {
    const std::uint64_t key_hash = XXH3_64bits(key.data(), key.size());
    std::vector<scored_entry> scored;
    scored.reserve(candidates.size());
    for (const entry_id& candidate : candidates) {
        scored.push_back(score(key_hash, candidate));
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    std::vector<entry_id> order;
    order.reserve(scored.size());
    for (scored_entry& entry : scored) {
        order.emplace_back(std::move(entry.second));
    }
    return order;
}

}  // namespace masticpass
