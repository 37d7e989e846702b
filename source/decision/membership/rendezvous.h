#ifndef MASTICPASS_DECISION_MEMBERSHIP_RENDEZVOUS_H
#define MASTICPASS_DECISION_MEMBERSHIP_RENDEZVOUS_H

#include <optional>
#include <string_view>
#include <vector>

#include <absl/types/span.h>

#include "common/identifier.h"

namespace masticpass {

// Rendezvous hashing: each candidate gets a score for the key. Entry VMs that know the same candidates
// compute the same order, and removing a candidate changes the owner only of the keys that it owned.

// Returns the candidate with the highest score; nullopt if there are no candidates.
std::optional<entry_id> rendezvous_owner(std::string_view key, absl::Span<const entry_id> candidates);

// Returns all candidates by descending score: the owner first, followed by its successors.
std::vector<entry_id> rendezvous_order(std::string_view key, absl::Span<const entry_id> candidates);

}  // namespace masticpass

#endif
