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
inline constexpr std::size_t maximum_entries_per_zone = 8;

struct allotment_member {
    entry_id entry;
    incarnation_id incarnation;
    // The first epoch that contains this incarnation. It used no slots before this epoch.
    std::uint64_t joined_epoch = 0;
    // Peer address of the incarnation, where other entry VMs can check whether its process has terminated.
    std::string address = {};

    friend bool operator==(const allotment_member&, const allotment_member&) = default;
};

// The stored record that divides the slots of a zone's instances among the zone's entry VMs.
struct allotment_record {
    // Incremented by each accepted change.
    std::uint64_t epoch = 0;
    std::vector<allotment_member> members;

    // Index in `members` of the owner of slot `slot` of `instance`; nullopt if there are no members.
    std::optional<std::size_t> owner(const vm_id& instance, int slot) const;

    bool contains(const incarnation_id& incarnation) const;

    // Bit mask of the slots of `instance` that the incarnation owns.
    std::uint32_t slot_mask_of(const vm_id& instance, const incarnation_id& incarnation) const;

    friend bool operator==(const allotment_record&, const allotment_record&) = default;
};

// The record to propose when an entry VM joins. Errors: identity_in_use if the incarnation is already a
// member; queue_full_items if the zone already has `maximum_entries_per_zone` members.
[[nodiscard]] tl::expected<allotment_record, refusal> with_member(const allotment_record& current,
                                                                  const entry_id& entry,
                                                                  const incarnation_id& incarnation);

// The record to propose when an incarnation is removed. The incarnation must be proved terminated, or must
// have stopped using slots and connections.
[[nodiscard]] allotment_record without_member(const allotment_record& current,
                                              const incarnation_id& incarnation);

}  // namespace masticpass

#endif
