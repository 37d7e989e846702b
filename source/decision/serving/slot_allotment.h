#ifndef MASTICPASS_DECISION_SERVING_SLOT_ALLOTMENT_H
#define MASTICPASS_DECISION_SERVING_SLOT_ALLOTMENT_H

#include <cstdint>
#include <deque>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "common/identifier.h"
#include "decision/serving/acknowledgement_table.h"
#include "decision/serving/allotment_record.h"

namespace masticpass {

// The slots and connections of the zone's instances that this entry VM may use. A slot gained at an epoch is
// used only after each earlier owner has acknowledged an epoch from which on it does not own the slot, or has
// terminated, so the requests of all entry VMs on an instance never exceed its slots, whichever records each
// of them has seen. No timer is involved. Thread safety: none; the caller holds a lock.
class slot_allotment {
public:
    explicit slot_allotment(incarnation_id self);

    // Takes a record read from the store. Records of lower or equal epoch are ignored.
    void apply(const allotment_record& record);

    void record_acknowledgement(const incarnation_id& sender,
                                const allotment_acknowledgement& acknowledgement);

    // Requires proof: terminated in the VM list, its address refuses connections, or its address responds
    // with a newer incarnation. Missing responses are no proof.
    void mark_terminated(const incarnation_id& incarnation);

    // Slots that may be used now, those in use included. 0 for an instance of which nothing is owned.
    int usable_slots(const vm_id& instance);
    int maximum_connections(const vm_id& instance) { return usable_slots(instance) * connections_per_slot; }

    // Takes a slot for one request; false if none is free.
    [[nodiscard]] bool acquire_slot(const vm_id& instance);
    void release_slot(const vm_id& instance);

    // Counts a connection that is about to be opened; false if the limit is reached.
    [[nodiscard]] bool acquire_connection(const vm_id& instance);
    void release_connection(const vm_id& instance);
    // Idle connections that have to be closed before the epoch can be acknowledged for the instance.
    int excess_connections(const vm_id& instance);

    // The acknowledgement for the next heartbeat.
    allotment_acknowledgement acknowledgement();

    std::uint64_t epoch() const { return history_.empty() ? 0 : history_.back().epoch; }

    // Forgets an instance that left the zone; ignored while requests or connections are counted on it.
    void forget(const vm_id& instance);

private:
    struct instance_usage {
        std::uint32_t owned_slots_mask = 0;
        // The owned slots that may be used.
        std::uint32_t usable_slots_mask = 0;
        int in_flight = 0;
        int connections = 0;

        bool is_within_usable_slots() const;
    };

    instance_usage& usage_of(const vm_id& instance);
    void enable_gained_slots(const vm_id& instance, instance_usage& usage) const;
    bool may_still_use(const allotment_member& member, const vm_id& instance, int slot) const;

    incarnation_id self_;
    // Ascending epochs; the last record is in force.
    std::deque<allotment_record> history_;
    acknowledgement_table acknowledgements_;
    absl::flat_hash_set<incarnation_id> terminated_;
    absl::flat_hash_map<vm_id, instance_usage> usages_;
};

}  // namespace masticpass

#endif
