#ifndef MASTICPASS_DECISION_MAINTENANCE_ACTION_PLANNER_H
#define MASTICPASS_DECISION_MAINTENANCE_ACTION_PLANNER_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "decision/maintenance/wave_progress.h"

namespace masticpass {

enum class vm_list_state { live, leaving, terminated };

// What an entry VM knows about a VM from the VM list, the health probes and the other entry VMs.
struct vm_observation {
    zone_name zone;
    rack_name rack;
    boot_id boot;
    // The pool whose role the VM runs.
    pool_name role;
    vm_list_state state = vm_list_state::live;
    std::int64_t list_index = 0;
    bool last_probe_succeeded = false;
    // The health probes of every reachable entry VM of the zone have failed for the whole period after which
    // a VM counts as failed.
    bool failure_confirmed = false;
    bool ejected = false;
};

// Which entry VMs may send requests to the VMs of a zone, and which drains they have acknowledged.
struct drain_status {
    // The incarnations in the allotment record of each zone, including those that may not use slots yet,
    // because other members have not acknowledged the epoch in which they joined. A zone that is missing here
    // is unknown, and none of its VMs counts as drained.
    std::map<zone_name, std::set<incarnation_id>> senders;
    std::set<incarnation_id> proved_terminated;
    // Senders that have acknowledged an operation on a VM: they have no request to the VM in flight and send
    // no new one. The operation is part of the key, because an acknowledgement of an earlier, cancelled
    // reservation does not cover requests that were sent since.
    std::map<std::pair<vm_id, operation_id>, std::set<incarnation_id>> acknowledged;
};

struct move_request {
    vm_id vm;
    pool_name source;
    pool_name target;
};

// The input of one planning round. Its parts may be stale independently of each other.
struct maintenance_view {
    incarnation_id self;
    // The next unused number for change ids of this incarnation. A number must never be used twice.
    std::int64_t next_sequence = 1;
    // Wall-clock time.
    absl::Time now;
    // A consistent, possibly stale read of all pool records.
    std::map<pool_name, stored_pool_record> pools;
    std::map<pool_name, pool_limits> limits;
    std::vector<declared_wave> waves;
    std::vector<move_request> moves;
    std::map<vm_id, vm_observation> vms;
    drain_status drain;
};

// Writes `record` to `pools/<pool>` by compare-and-swap at `expected_revision`.
struct write_record {
    pool_name pool;
    std::int64_t expected_revision = 0;
    pool_record record;
};

// Calls the platform's conditional reboot. It may be repeated: the platform reboots the VM only if its boot
// identity is still `expected_boot`.
struct reboot_vm {
    vm_id vm;
    operation_id operation;
    boot_id expected_boot;
    pool_name pool;
};

using maintenance_action = std::variant<write_record, reboot_vm, wave_report>;

// True if every entry VM that may send to the VM has acknowledged this operation or is proved terminated.
bool is_drained(const drain_status& drain, const zone_name& zone, const vm_id& vm,
                const operation_id& operation);

// The VMs of the record that are observed as failed, leaving, unreachable or ejected. A VM that is missing
// from the VM list counts as unavailable, but its absence does not prove that it was terminated.
unavailable_vms observed_unavailable(const pool_record& record, const std::map<vm_id, vm_observation>& vms);

// The actions for one pool: at most one write, which uses one sequence number, and the reboots that the
// stored record already permits. A reboot is never returned together with the write that permits it, because
// that write may fail.
std::vector<maintenance_action> plan_pool_actions(const maintenance_view& view, const pool_name& pool);

// One report for each declared wave.
std::vector<maintenance_action> wave_reports(const maintenance_view& view);

// The actions for all `pools`, in the given order, followed by the wave reports. Uses one sequence number per
// write.
std::vector<maintenance_action> plan_actions(const maintenance_view& view,
                                             const std::vector<pool_name>& pools);

}  // namespace masticpass

#endif
