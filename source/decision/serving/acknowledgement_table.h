#ifndef MASTICPASS_DECISION_SERVING_ACKNOWLEDGEMENT_TABLE_H
#define MASTICPASS_DECISION_SERVING_ACKNOWLEDGEMENT_TABLE_H

#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "common/identifier.h"

namespace masticpass {

// What an entry VM announces in its heartbeats about the allotment that it follows.
struct allotment_acknowledgement {
    std::uint64_t epoch = 0;
    // Instances on which the sender still has more requests or connections than its slots at `epoch` allow.
    std::vector<vm_id> pending_instances;
};

// The highest epoch at which each other entry VM has settled for each instance, as far as announced.
// Thread safety: none; the caller holds a lock.
class acknowledgement_table {
public:
    // Announcements may arrive late, twice and out of order.
    void record(const incarnation_id& sender, const allotment_acknowledgement& acknowledgement);

    // 0 if nothing is known.
    std::uint64_t acknowledged_epoch(const incarnation_id& entry, const vm_id& instance) const;

    // Forgets all entry VMs but these.
    void retain(const absl::flat_hash_set<incarnation_id>& entries);

private:
    struct entry_state {
        std::uint64_t epoch = 0;
        // Instances not settled at `epoch`, with the epoch at which they last were.
        absl::flat_hash_map<vm_id, std::uint64_t> pending;
    };

    absl::flat_hash_map<incarnation_id, entry_state> entries_;
};

}  // namespace masticpass

#endif
