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

// The entry of a VM in a pool record. All times are wall-clock times, because several entry VMs compare them.
struct pool_vm {
    zone_name zone;
    rack_name rack;
    vm_phase phase = vm_phase::serving;
    // When the VM entered its phase.
    absl::Time since = absl::UnixEpoch();
    // When the VM last returned to service after a reboot planned by masticpass, or joined the pool.
    absl::Time maintained_at = absl::UnixEpoch();
    // Set in every phase but `serving` and `failed`.
    operation_id operation;
    incarnation_id actor;
    // The wave for which a `reserved` or `acting` VM is maintained; empty if no wave is the reason, for
    // example if only its maintenance is due or if it had failed.
    wave_name wave;
    // `acting` and `failed`: the boot identity that must change before the VM counts as serving, and the
    // index of the VM list that showed it. An older list may show an even older boot identity, so only a list
    // with a greater index can prove a newer one. Also set in a `reserved` VM that had failed before.
    boot_id old_boot;
    std::int64_t old_boot_index = 0;
    // `moving_out`: the target pool. `incoming`, and `acting` with `joining`: the source pool, empty for a
    // new VM.
    pool_name other_pool;
    // `incoming` from another pool: the store revision at which the source's record showed the move.
    std::int64_t source_revision = 0;
    // `acting`: the reboot brings the VM into this pool. Such a VM is not part of the pool's size yet.
    bool joining = false;

    friend bool operator==(const pool_vm&, const pool_vm&) = default;
};

// Progress of a wave in one pool. VMs whose `maintained_at` is before `started_at` still have to be
// maintained.
struct wave_progress {
    absl::Time started_at = absl::UnixEpoch();
    bool ended = false;
    // VMs that had not returned to service when the wave ended.
    std::vector<vm_id> never_returned;

    friend bool operator==(const wave_progress&, const wave_progress&) = default;
};

// Kept in the source's record after a move handed the VM over, until the target has started to reboot the VM.
// It distinguishes a completed move from a cancelled one whose `incoming` entry is still in the target.
struct departure {
    pool_name target;
    operation_id operation;
    // The revision of the target's record that showed the VM as `incoming`.
    std::int64_t target_revision = 0;

    friend bool operator==(const departure&, const departure&) = default;
};

// The content of `pools/<pool>`, which alone defines the VMs of the pool.
struct pool_record {
    pool_name pool;
    std::map<vm_id, pool_vm> vms;
    std::map<vm_id, departure> departures;
    std::map<wave_name, wave_progress> waves;
    change_id last_change;
    incarnation_id last_writer;

    friend bool operator==(const pool_record&, const pool_record&) = default;
};

// A record with the store revision at which it was read.
struct stored_pool_record {
    std::int64_t revision = 0;
    pool_record record;
};

// True if the VM is part of the pool's size, that is, neither `incoming` nor joining.
bool counts_in_size(const pool_vm& vm);

// The number of VMs for which counts_in_size() is true.
int pool_size(const pool_record& record);

// The record as JSON text. Times have millisecond precision.
std::string serialize(const pool_record& record);

// Parses what serialize() writes. Rejects unknown or missing members, wrong types and values out of range;
// the error names the member.
tl::expected<pool_record, std::string> parse_pool_record(std::string_view text);

// True if `stored` is the result of the writer's own change. Used after a write with an unknown outcome: if
// it returns false for a record read after the write, the write has not taken effect or has been overwritten,
// and the decision must be made again from that record.
bool is_own_write(const pool_record& stored, const change_id& change, const incarnation_id& writer);

}  // namespace masticpass

#endif
