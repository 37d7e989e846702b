#ifndef MASTICPASS_DECISION_SERVING_ACKNOWLEDGEMENT_TABLE_H
#define MASTICPASS_DECISION_SERVING_ACKNOWLEDGEMENT_TABLE_H

#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "common/identifier.h"

namespace masticpass {

// The state of the allotment that an entry VM applies, as reported in its heartbeats.
struct allotment_acknowledgement {
    std::uint64_t epoch = 0;
    // Instances on which the sender still has more requests or connections than its slots at `epoch` allow.
    std::vector<vm_id> pending_instances;
};

// The highest epoch that each other entry VM has acknowledged for each instance, as far as known.
// Thread safety: none; the caller holds a lock.
class acknowledgement_table {
public:
    // Acknowledgements may arrive late, twice and out of order.
    void record(const incarnation_id& sender, const allotment_acknowledgement& acknowledgement);

    // 0 if no acknowledgement has arrived.
    std::uint64_t acknowledged_epoch(const incarnation_id& entry, const vm_id& instance) const;

    // Forgets all entry VMs but these.
    void retain(const absl::flat_hash_set<incarnation_id>& entries);

private:
    struct entry_state {
        std::uint64_t epoch = 0;
        // Instances not acknowledged at `epoch`, with their last acknowledged epoch.
        absl::flat_hash_map<vm_id, std::uint64_t> pending;
    };

    absl::flat_hash_map<incarnation_id, entry_state> entries_;
};

}  // namespace masticpass

#endif
