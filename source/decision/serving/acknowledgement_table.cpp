#include "decision/serving/acknowledgement_table.h"

#include <utility>

namespace masticpass {

void acknowledgement_table::record(const incarnation_id& sender,
                                   const allotment_acknowledgement& acknowledgement) {
    entry_state& known = entries_[sender];
    if (acknowledgement.epoch < known.epoch) {
        return;
    }
    absl::flat_hash_map<vm_id, std::uint64_t> pending;
    for (const vm_id& instance : acknowledgement.pending_instances) {
        const auto earlier = known.pending.find(instance);
        if (earlier != known.pending.end()) {
            pending.emplace(instance, earlier->second);
        } else if (acknowledgement.epoch > known.epoch) {
            pending.emplace(instance, known.epoch);
        }
        // Otherwise the sender has already acknowledged this epoch for the instance, which stays true: the
        // message is late.
    }
    known.epoch = acknowledgement.epoch;
    known.pending = std::move(pending);
}

std::uint64_t acknowledgement_table::acknowledged_epoch(const incarnation_id& entry,
                                                        const vm_id& instance) const {
    const auto found = entries_.find(entry);
    if (found == entries_.end()) {
        return 0;
    }
    const auto pending = found->second.pending.find(instance);
    return pending == found->second.pending.end() ? found->second.epoch : pending->second;
}

void acknowledgement_table::retain(const absl::flat_hash_set<incarnation_id>& entries) {
    absl::erase_if(entries_, [&](const auto& each) { return !entries.contains(each.first); });
}

}  // namespace masticpass
