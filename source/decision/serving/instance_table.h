#ifndef MASTICPASS_DECISION_SERVING_INSTANCE_TABLE_H
#define MASTICPASS_DECISION_SERVING_INSTANCE_TABLE_H

#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include "common/identifier.h"
#include "decision/serving/scheduler_types.h"

namespace masticpass {

// The instances of one service, with their slots and the number of attempts that run on them.
// Thread safety: none; the caller holds a lock.
class instance_table {
public:
    // Replaces the set of instances. An instance that was removed stays in the table, without slots, until
    // its last attempt ends.
    void update(absl::Span<const instance_capacity> instances);

    // The instance with the most free slots; among equals, the least recently used one. `avoid` is chosen
    // only if no other instance has a free slot. nullopt if no slot is free.
    std::optional<vm_id> choose(const std::optional<vm_id>& avoid) const;

    void attempt_started(const vm_id& instance);
    void attempt_ended(const vm_id& instance);

    // Total number of slots, free or in use, of the instances that accept work.
    int usable_slots() const { return usable_slots_; }
    bool has_free_slot() const { return choose(std::nullopt).has_value(); }
    int free_slots() const;

private:
    struct entry {
        vm_id instance;
        int slots = 0;
        int running = 0;
        bool accepts_work = false;
        std::uint64_t last_attempt_number = 0;

        int free() const { return accepts_work && running < slots ? slots - running : 0; }
    };

    void rebuild_index();

    std::vector<entry> entries_;
    absl::flat_hash_map<vm_id, std::size_t> index_;
    int usable_slots_ = 0;
    std::uint64_t attempt_count_ = 0;
};

}  // namespace masticpass

#endif
