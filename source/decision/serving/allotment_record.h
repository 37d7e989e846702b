#ifndef MASTICPASS_DECISION_SERVING_ALLOTMENT_RECORD_H
#define MASTICPASS_DECISION_SERVING_ALLOTMENT_RECORD_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "common/identifier.h"
#include "common/verdict.h"

namespace masticpass {

inline constexpr int slots_per_instance = 8;
inline constexpr int connections_per_slot = 8;
inline constexpr std::size_t max_entries_per_zone = 8;

struct allotment_member {
    entry_id entry;
    incarnation_id incarnation;
    // The first epoch with this incarnation; before it, the incarnation used no slot.
    std::uint64_t joined_epoch = 0;
    // Peer address of the incarnation, at which others can check that its process is gone.
    std::string address = {};

    friend bool operator==(const allotment_member&, const allotment_member&) = default;
};

// The record in the store that divides the slots of a zone's instances among the zone's entry VMs.
struct allotment_record {
    // Each accepted change raises it by one.
    std::uint64_t epoch = 0;
    std::vector<allotment_member> members;

    // The position of the member that owns slot `slot` of `instance`; nullopt if there is no member.
    std::optional<std::size_t> owner(const vm_id& instance, int slot) const;

    bool contains(const incarnation_id& incarnation) const;

    // Slots of `instance` that the incarnation owns, as one bit per slot.
    std::uint32_t slot_mask_of(const vm_id& instance, const incarnation_id& incarnation) const;

    friend bool operator==(const allotment_record&, const allotment_record&) = default;
};

// The record to propose for an entry VM that joins. Errors: identity_in_use if the incarnation is a member;
// queue_full_items if the zone has the largest number of entry VMs.
[[nodiscard]] tl::expected<allotment_record, refusal> with_member(const allotment_record& current,
                                                                  const entry_id& entry,
                                                                  const incarnation_id& incarnation);

// The record to propose without an incarnation that is proved gone or has stopped using slots and
// connections.
[[nodiscard]] allotment_record without_member(const allotment_record& current,
                                              const incarnation_id& incarnation);

}  // namespace masticpass

#endif
