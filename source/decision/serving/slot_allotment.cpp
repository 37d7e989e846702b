#include "decision/serving/slot_allotment.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "common/invariant.h"

namespace masticpass {
namespace {

// Older records matter only for entry VMs that have not acknowledged as many epochs; such an entry VM counts
// as a possible user of every slot.
constexpr std::size_t maximum_history_records = 64;

}  // namespace

bool slot_allotment::instance_usage::is_within_usable_slots() const {
    const int slots = std::popcount(usable_slots_mask);
    return in_flight <= slots && connections <= slots * connections_per_slot;
}

slot_allotment::slot_allotment(incarnation_id self) : self_(std::move(self)) {}

void slot_allotment::apply(const allotment_record& record) {
    if (record.epoch <= epoch()) {
        return;
    }
    history_.push_back(record);
    if (history_.size() > maximum_history_records) {
        history_.pop_front();
    }
    absl::flat_hash_set<incarnation_id> members;
    for (const allotment_member& member : record.members) {
        members.insert(member.incarnation);
    }
    absl::erase_if(terminated_, [&](const incarnation_id& each) { return !members.contains(each); });
    acknowledgements_.retain(members);
    for (auto& [instance, usage] : usages_) {
        usage.owned_slots_mask = record.slot_mask_of(instance, self_);
        usage.usable_slots_mask &= usage.owned_slots_mask;
    }
}

void slot_allotment::record_acknowledgement(const incarnation_id& sender,
                                            const allotment_acknowledgement& acknowledgement) {
    acknowledgements_.record(sender, acknowledgement);
}

void slot_allotment::mark_terminated(const incarnation_id& incarnation) {
    terminated_.insert(incarnation);
}

int slot_allotment::usable_slots(const vm_id& instance) {
    return std::popcount(usage_of(instance).usable_slots_mask);
}

bool slot_allotment::acquire_slot(const vm_id& instance) {
    instance_usage& usage = usage_of(instance);
    if (usage.in_flight >= std::popcount(usage.usable_slots_mask)) {
        return false;
    }
    ++usage.in_flight;
    check_invariant(usage.in_flight <= std::popcount(usage.owned_slots_mask),
                    "requests in flight fit the slots owned");
    return true;
}

void slot_allotment::release_slot(const vm_id& instance) {
    check_invariant(--usage_of(instance).in_flight >= 0, "a released slot was acquired");
}

bool slot_allotment::acquire_connection(const vm_id& instance) {
    instance_usage& usage = usage_of(instance);
    if (usage.connections >= std::popcount(usage.usable_slots_mask) * connections_per_slot) {
        return false;
    }
    ++usage.connections;
    return true;
}

void slot_allotment::release_connection(const vm_id& instance) {
    check_invariant(--usage_of(instance).connections >= 0, "a released connection was acquired");
}

int slot_allotment::excess_connections(const vm_id& instance) {
    const instance_usage& usage = usage_of(instance);
    return std::max(0, usage.connections - std::popcount(usage.usable_slots_mask) * connections_per_slot);
}

allotment_acknowledgement slot_allotment::acknowledgement() {
    allotment_acknowledgement result{.epoch = epoch(), .pending_instances = {}};
    for (auto& [instance, usage] : usages_) {
        enable_gained_slots(instance, usage);
        if (!usage.is_within_usable_slots()) {
            result.pending_instances.push_back(instance);
        }
    }
    return result;
}

void slot_allotment::forget(const vm_id& instance) {
    const auto found = usages_.find(instance);
    if (found != usages_.end() && found->second.in_flight == 0 && found->second.connections == 0) {
        usages_.erase(found);
    }
}

slot_allotment::instance_usage& slot_allotment::usage_of(const vm_id& instance) {
    const auto [found, added] = usages_.try_emplace(instance);
    instance_usage& usage = found->second;
    if (added && !history_.empty()) {
        usage.owned_slots_mask = history_.back().slot_mask_of(instance, self_);
    }
    enable_gained_slots(instance, usage);
    return usage;
}

void slot_allotment::enable_gained_slots(const vm_id& instance, instance_usage& usage) const {
    if (usage.usable_slots_mask == usage.owned_slots_mask) {
        return;
    }
    for (int slot = 0; slot < slots_per_instance; ++slot) {
        const std::uint32_t bit = 1U << static_cast<unsigned>(slot);
        if ((usage.owned_slots_mask & bit) == 0 || (usage.usable_slots_mask & bit) != 0) {
            continue;
        }
        const auto& members = history_.back().members;
        const bool blocked = std::any_of(members.begin(), members.end(), [&](const allotment_member& member) {
            return member.incarnation != self_ && may_still_use(member, instance, slot);
        });
        if (!blocked) {
            usage.usable_slots_mask |= bit;
        }
    }
}

bool slot_allotment::may_still_use(const allotment_member& member, const vm_id& instance, int slot) const {
    if (terminated_.contains(member.incarnation)) {
        return false;
    }
    const std::uint64_t acknowledged =
        std::max(member.joined_epoch, acknowledgements_.acknowledged_epoch(member.incarnation, instance));
    // A member uses only slots that it owned at its last acknowledged epoch or later.
    for (std::uint64_t earlier = acknowledged; earlier < epoch(); ++earlier) {
        const auto record = std::lower_bound(
            history_.begin(), history_.end(), earlier,
            [](const allotment_record& candidate, std::uint64_t wanted) { return candidate.epoch < wanted; });
        if (record == history_.end() || record->epoch != earlier) {
            return true;
        }
        const auto owner = record->owner(instance, slot);
        if (owner.has_value() && record->members[*owner].incarnation == member.incarnation) {
            return true;
        }
    }
    return false;
}

}  // namespace masticpass
