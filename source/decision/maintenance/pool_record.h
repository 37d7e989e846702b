#ifndef MASTICPASS_DECISION_MAINTENANCE_POOL_RECORD_H
#define MASTICPASS_DECISION_MAINTENANCE_POOL_RECORD_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/time/time.h>
#include <tl/expected.hpp>

#include "common/identifier.h"

namespace masticpass {

enum class vm_phase { serving, reserved, acting, failed, moving_out, incoming };

std::string_view to_string(vm_phase phase);
std::optional<vm_phase> parse_vm_phase(std::string_view text);

// One VM in a pool record. All times are calendar times, because several entry VMs compare them.
struct pool_vm {
    zone_name zone;
    rack_name rack;
    vm_phase phase = vm_phase::serving;
    // When the VM entered its phase.
    absl::Time since = absl::UnixEpoch();
    // When the VM last came back from a reboot that masticpass planned, or joined the pool.
    absl::Time maintained_at = absl::UnixEpoch();
    // Set in every phase but `serving` and `failed`.
    operation_id operation;
    incarnation_id actor;
    // The wave that a `reserved` or `acting` VM is maintained for; empty for a VM that is merely due.
    wave_name wave;
    // `acting` and `failed`: the boot identity that must be replaced before the VM counts as serving, and the
    // index of the VM list that showed it. An older list may show an even older boot identity, so only a list
    // with a greater index is evidence of a newer one.
    boot_id old_boot;
    std::int64_t old_boot_index = 0;
    // `moving_out`: the target. `incoming`, and `acting` on the way in: the source, empty for a new VM.
    pool_name other_pool;
    // `incoming` from another pool: a store revision of the source's record that shows the move.
    std::int64_t source_revision = 0;
    // `acting` on the way into the pool. Such a VM is not part of the pool's size yet.
    bool joining = false;

    friend bool operator==(const pool_vm&, const pool_vm&) = default;
};

// Progress of a wave in one pool. VMs with an earlier `maintained_at` than `started_at` are still to be done.
struct wave_progress {
    absl::Time started_at = absl::UnixEpoch();
    bool ended = false;
    // VMs that had not come back when the wave ended.
    std::vector<vm_id> never_returned;

    friend bool operator==(const wave_progress&, const wave_progress&) = default;
};

// Kept by the source of a move after it gave the VM away, until the target has taken the next step. It tells
// a completed move from a cancelled one whose note in the target is still there.
struct departure {
    pool_name target;
    operation_id operation;
    // Revision of the target's record that listed the VM as `incoming`.
    std::int64_t target_revision = 0;

    friend bool operator==(const departure&, const departure&) = default;
};

// The content of `pools/<pool>`: the only place that says which VMs the pool has.
struct pool_record {
    pool_name pool;
    std::map<vm_id, pool_vm> vms;
    std::map<vm_id, departure> departures;
    std::map<wave_name, wave_progress> waves;
    change_id last_change;
    incarnation_id last_writer;

    friend bool operator==(const pool_record&, const pool_record&) = default;
};

// A record with the store revision that it was read at.
struct stored_pool_record {
    std::int64_t revision = 0;
    pool_record record;
};

// True if the VM is part of the pool's size: neither a note of a move nor on its way in.
bool counts_in_size(const pool_vm& vm);

// Number of VMs that are part of the pool's size.
int pool_size(const pool_record& record);

// The record as JSON text. Times have millisecond precision.
std::string serialize(const pool_record& record);

// Reads what serialize() writes. Refuses unknown or missing members, wrong types and values out of range; the
// error names the member.
tl::expected<pool_record, std::string> parse_pool_record(std::string_view text);

// True if `stored` is the writer's own change. Used after a write with an unknown outcome: if it returns
// false for a record read at or after the write, the write has not taken effect or has been overwritten, and
// the decision must be taken again from the record.
bool is_own_write(const pool_record& stored, const change_id& change, const incarnation_id& writer);

}  // namespace masticpass

#endif
