#include "decision/serving/allotment_record.h"

#include <algorithm>

#include <xxhash.h>

namespace masticpass {

std::optional<std::size_t> allotment_record::owner(const vm_id& instance, int slot) const {
    if (members.empty()) {
        return std::nullopt;
    }
    const std::uint64_t hash = XXH3_64bits(instance.value().data(), instance.value().size());
    const std::uint64_t count = members.size();
    return (hash % count + static_cast<std::uint64_t>(slot)) % count;
}

bool allotment_record::contains(const incarnation_id& incarnation) const {
    return std::any_of(members.begin(), members.end(),
                       [&](const allotment_member& member) { return member.incarnation == incarnation; });
}

std::uint32_t allotment_record::slot_mask_of(const vm_id& instance, const incarnation_id& incarnation) const {
    std::uint32_t slots = 0;
    for (int slot = 0; slot < slots_per_instance; ++slot) {
        const auto position = owner(instance, slot);
        if (position.has_value() && members[*position].incarnation == incarnation) {
            slots |= 1U << static_cast<unsigned>(slot);
        }
    }
    return slots;
}

tl::expected<allotment_record, refusal> with_member(const allotment_record& current, const entry_id& entry,
                                                    const incarnation_id& incarnation) {
    if (current.contains(incarnation)) {
        return tl::make_unexpected(refusal{.outcome = verdict::not_run,
                                           .reason = refusal_reason::identity_in_use,
                                           .message = "the incarnation is a member already"});
    }
    if (current.members.size() >= maximum_entries_per_zone) {
        return tl::make_unexpected(refusal{.outcome = verdict::not_run,
                                           .reason = refusal_reason::queue_full_items,
                                           .message = "the zone has the largest number of entry VMs"});
    }
    allotment_record next = current;
    ++next.epoch;
    next.members.push_back({.entry = entry, .incarnation = incarnation, .joined_epoch = next.epoch});
    return next;
}

allotment_record without_member(const allotment_record& current, const incarnation_id& incarnation) {
    allotment_record next = current;
    std::erase_if(next.members,
                  [&](const allotment_member& member) { return member.incarnation == incarnation; });
    if (next.members.size() != current.members.size()) {
        ++next.epoch;
    }
    return next;
}

}  // namespace masticpass
