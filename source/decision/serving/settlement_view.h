#ifndef MASTICPASS_DECISION_SERVING_SETTLEMENT_VIEW_H
#define MASTICPASS_DECISION_SERVING_SETTLEMENT_VIEW_H

#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "common/identifier.h"

namespace masticpass {

// What an entry VM announces in its heartbeats about the allotment that it follows.
struct settlement {
    std::uint64_t epoch = 0;
    // Instances on which the sender still has more requests or connections than its slots at `epoch` allow.
    std::vector<vm_id> unsettled;
};

// The highest epoch at which each other entry VM has settled for each instance, as far as announced.
// Thread safety: none; the caller holds a lock.
class settlement_view {
public:
    // Announcements may arrive late, twice and out of order.
    void announced(const incarnation_id& sender, const settlement& announcement);

    // 0 if nothing is known.
    std::uint64_t settled_epoch(const incarnation_id& entry, const vm_id& instance) const;

    // Forgets all entry VMs but these.
    void retain(const absl::flat_hash_set<incarnation_id>& entries);

private:
    struct knowledge {
        std::uint64_t epoch = 0;
        // Instances not settled at `epoch`, with the epoch at which they last were.
        absl::flat_hash_map<vm_id, std::uint64_t> behind;
    };

    absl::flat_hash_map<incarnation_id, knowledge> known_;
};

}  // namespace masticpass

#endif
