#include "decision/serving/settlement_view.h"

#include <utility>

namespace masticpass {

void settlement_view::announced(const incarnation_id& sender, const settlement& announcement) {
    knowledge& known = known_[sender];
    if (announcement.epoch < known.epoch) {
        return;
    }
    absl::flat_hash_map<vm_id, std::uint64_t> behind;
    for (const vm_id& instance : announcement.unsettled) {
        const auto earlier = known.behind.find(instance);
        if (earlier != known.behind.end()) {
            behind.emplace(instance, earlier->second);
        } else if (announcement.epoch > known.epoch) {
            behind.emplace(instance, known.epoch);
        }
        // Otherwise the sender had settled at this epoch before, which stays true: the message is late.
    }
    known.epoch = announcement.epoch;
    known.behind = std::move(behind);
}

std::uint64_t settlement_view::settled_epoch(const incarnation_id& entry, const vm_id& instance) const {
    const auto found = known_.find(entry);
    if (found == known_.end()) {
        return 0;
    }
    const auto behind = found->second.behind.find(instance);
    return behind == found->second.behind.end() ? found->second.epoch : behind->second;
}

void settlement_view::retain(const absl::flat_hash_set<incarnation_id>& entries) {
    absl::erase_if(known_, [&](const auto& each) { return !entries.contains(each.first); });
}

}  // namespace masticpass
