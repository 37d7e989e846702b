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

// What an entry VM knows of a VM, from the VM list, the health probes and its peers.
struct vm_observation {
    zone_name zone;
    rack_name rack;
    boot_id boot;
    // The pool whose role the VM runs.
    pool_name role;
    vm_list_state state = vm_list_state::live;
    std::int64_t list_index = 0;
    // The last health probe was answered.
    bool last_probe_succeeded = false;
    // Health probes by every reachable entry VM of the zone have failed for the time that makes a VM failed.
    bool failure_confirmed = false;
    bool ejected = false;
};

// Which entry VMs may send to the VMs of a zone, and what they have acknowledged.
struct drain_status {
    // Incarnations in the zone's allotment record, including those not settled yet. A zone without an entry
    // is unknown, and nothing in it counts as drained.
    std::map<zone_name, std::set<incarnation_id>> senders;
    std::set<incarnation_id> proved_terminated;
    // Senders without a request in flight, by VM and operation. The operation matters: an acknowledgement of
    // an earlier, withdrawn reservation says nothing about requests sent since.
    std::map<std::pair<vm_id, operation_id>, std::set<incarnation_id>> acknowledged;
};

struct move_request {
    vm_id vm;
    pool_name source;
    pool_name target;
};

// The input of one planning round.
struct maintenance_view {
    incarnation_id self;
    // The next free number for change ids of this incarnation. A number must never be used twice.
    std::int64_t next_sequence = 1;
    // Calendar time.
    absl::Time now;
    // One consistent read of all pool records. It may be stale.
    std::map<pool_name, stored_pool_record> pools;
    std::map<pool_name, pool_limits> limits;
    std::vector<declared_wave> waves;
    std::vector<move_request> moves;
    std::map<vm_id, vm_observation> vms;
    drain_status drain;
};

// Write `record` to `pools/<pool>` by compare-and-swap.
struct write_record {
    pool_name pool;
    std::int64_t expected_revision = 0;
    pool_record record;
};

// Call the platform's conditional reboot. Safe to repeat.
struct reboot_vm {
    vm_id vm;
    operation_id operation;
    boot_id expected_boot;
    pool_name pool;
};

using maintenance_action = std::variant<write_record, reboot_vm, wave_report>;

// True if every entry VM that may send to the VM has acknowledged this operation or is proved gone.
bool is_drained(const drain_status& drain, const zone_name& zone, const vm_id& vm,
                const operation_id& operation);

// The VMs of the record that are seen failed, leaving, unreachable or ejected. A VM that the list does not
// contain counts as unavailable, but its absence proves nothing more.
unavailable_vms observed_unavailable(const pool_record& record, const std::map<vm_id, vm_observation>& vms);

// The actions for one pool: at most one write, which uses up one sequence number, and the reboots that the
// record read already permits. A reboot is never returned together with the write that permits it.
std::vector<maintenance_action> plan_pool_actions(const maintenance_view& view, const pool_name& pool);

// A report for each declared wave.
std::vector<maintenance_action> wave_reports(const maintenance_view& view);

// The actions for all `pools`, in order, followed by the reports. Uses one sequence number per write.
std::vector<maintenance_action> plan_actions(const maintenance_view& view,
                                             const std::vector<pool_name>& pools);

}  // namespace masticpass

#endif
