#include "decision/serving/slot_allotment.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "common/invariant.h"

namespace masticpass {
namespace {

// Records older than these only matter to entry VMs that have not settled for as many changes; such an entry
// VM counts as a possible user of every slot.
constexpr std::size_t largest_history = 64;

}  // namespace

bool slot_allotment::instance_use::settled() const {
    const int slots = std::popcount(usable);
    return in_flight <= slots && connections <= slots * connections_per_slot;
}

slot_allotment::slot_allotment(incarnation_id self) : self_(std::move(self)) {}

void slot_allotment::apply(const allotment_record& record) {
    if (record.epoch <= epoch()) {
        return;
    }
    history_.push_back(record);
    if (history_.size() > largest_history) {
        history_.pop_front();
    }
    absl::flat_hash_set<incarnation_id> members;
    for (const allotment_member& member : record.members) {
        members.insert(member.incarnation);
    }
    absl::erase_if(gone_, [&](const incarnation_id& each) { return !members.contains(each); });
    settlements_.retain(members);
    for (auto& [instance, use] : uses_) {
        use.owned = record.slots_of(instance, self_);
        use.usable &= use.owned;
    }
}

void slot_allotment::announced(const incarnation_id& sender, const settlement& announcement) {
    settlements_.announced(sender, announcement);
}

void slot_allotment::proved_gone(const incarnation_id& incarnation) {
    gone_.insert(incarnation);
}

int slot_allotment::usable_slots(const vm_id& instance) {
    return std::popcount(use_of(instance).usable);
}

bool slot_allotment::acquire_slot(const vm_id& instance) {
    instance_use& use = use_of(instance);
    if (use.in_flight >= std::popcount(use.usable)) {
        return false;
    }
    ++use.in_flight;
    check_invariant(use.in_flight <= std::popcount(use.owned), "requests in flight fit the slots owned");
    return true;
}

void slot_allotment::release_slot(const vm_id& instance) {
    check_invariant(--use_of(instance).in_flight >= 0, "a released slot was acquired");
}

bool slot_allotment::acquire_connection(const vm_id& instance) {
    instance_use& use = use_of(instance);
    if (use.connections >= std::popcount(use.usable) * connections_per_slot) {
        return false;
    }
    ++use.connections;
    return true;
}

void slot_allotment::release_connection(const vm_id& instance) {
    check_invariant(--use_of(instance).connections >= 0, "a released connection was acquired");
}

int slot_allotment::surplus_connections(const vm_id& instance) {
    const instance_use& use = use_of(instance);
    return std::max(0, use.connections - std::popcount(use.usable) * connections_per_slot);
}

settlement slot_allotment::announcement() {
    settlement result{.epoch = epoch(), .unsettled = {}};
    for (auto& [instance, use] : uses_) {
        grant(instance, use);
        if (!use.settled()) {
            result.unsettled.push_back(instance);
        }
    }
    return result;
}

void slot_allotment::forget(const vm_id& instance) {
    const auto found = uses_.find(instance);
    if (found != uses_.end() && found->second.in_flight == 0 && found->second.connections == 0) {
        uses_.erase(found);
    }
}

slot_allotment::instance_use& slot_allotment::use_of(const vm_id& instance) {
    const auto [found, added] = uses_.try_emplace(instance);
    instance_use& use = found->second;
    if (added && !history_.empty()) {
        use.owned = history_.back().slots_of(instance, self_);
    }
    grant(instance, use);
    return use;
}

void slot_allotment::grant(const vm_id& instance, instance_use& use) const {
    if (use.usable == use.owned) {
        return;
    }
    for (int slot = 0; slot < slots_per_instance; ++slot) {
        const std::uint32_t bit = 1U << static_cast<unsigned>(slot);
        if ((use.owned & bit) == 0 || (use.usable & bit) != 0) {
            continue;
        }
        const auto& members = history_.back().members;
        const bool blocked = std::any_of(members.begin(), members.end(), [&](const allotment_member& member) {
            return member.incarnation != self_ && may_still_use(member, instance, slot);
        });
        if (!blocked) {
            use.usable |= bit;
        }
    }
}

bool slot_allotment::may_still_use(const allotment_member& member, const vm_id& instance, int slot) const {
    if (gone_.contains(member.incarnation)) {
        return false;
    }
    const std::uint64_t settled =
        std::max(member.joined, settlements_.settled_epoch(member.incarnation, instance));
    // A member uses only slots that it owned at the epoch of its last settlement or later.
    for (std::uint64_t earlier = settled; earlier < epoch(); ++earlier) {
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
