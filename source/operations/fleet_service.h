#ifndef MASTICPASS_OPERATIONS_FLEET_SERVICE_H
#define MASTICPASS_OPERATIONS_FLEET_SERVICE_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <tl/expected.hpp>

#include "common/identifier.h"
#include "decision/configuration/configuration_change.h"
#include "operations/operations_error.h"

namespace masticpass {

// The status of the entry VM that handles the call.
struct entry_status {
    entry_id entry = {};
    incarnation_id incarnation = {};
    zone_name zone = {};
    std::string version = {};
    // 0 if no configuration is in force.
    std::int64_t configuration_revision = 0;
    // Number of configurations that were rejected because they are older than the one in force.
    std::int64_t refused_older_revisions = 0;
    bool is_store_reachable = false;
    bool is_stopping = false;
};

struct configuration_view {
    // 0 if no configuration is in force.
    std::int64_t revision = 0;
    fleet_configuration configuration = {};
};

struct change_result {
    // The configuration revision that contains the change.
    std::int64_t revision = 0;
    // Whether the change had been accepted before, in which case this call had no effect.
    bool is_repeated = false;
};

struct pool_vm_view {
    vm_id vm = {};
    zone_name zone = {};
    rack_name rack = {};
    // The phase in the pool record: serving, reserved, acting, failed, moving_out or incoming.
    std::string phase = {};
    // The wall-clock time at which the VM entered its phase.
    absl::Time since = absl::UnixEpoch();
    // The observed condition of the backend server, which is not part of the record: leaving, unreachable or
    // ejected; empty if there is none.
    std::string observed = {};
    operation_id operation = {};
    wave_name wave = {};
};

struct pool_view {
    pool_name pool = {};
    // The store revision of the pool record.
    std::int64_t record_revision = 0;
    std::vector<pool_vm_view> vms = {};
    // Number of VMs that count as unavailable for the budget.
    int unavailable = 0;
};

// An entry VM as known to the one that handles the call.
struct entry_view {
    entry_id entry = {};
    incarnation_id incarnation = {};
    zone_name zone = {};
    std::string address = {};
    // The configuration revision and the reachability of the store according to its last heartbeat.
    std::int64_t configuration_revision = 0;
    bool is_store_reachable = false;
    absl::Duration heartbeat_age = absl::ZeroDuration();
};

struct wave_view {
    wave_name wave = {};
    // One of waiting, running, paused, paused_by_failures, cancelled and ended.
    std::string status = {};
    int total = 0;
    int done = 0;
    int in_progress = 0;
    std::vector<vm_id> never_returned = {};
    // Pools in which failures use up the budget.
    std::vector<pool_name> blocked_pools = {};
};

struct drain_result {
    pool_name pool = {};
    // The VM's phase after the call: reserved, or acting if the reboot has begun.
    std::string phase = {};
};

template <typename T>
using operations_result = tl::expected<T, operations_error>;

// The operations that an entry VM offers to operators. Methods that read return the state known to this entry
// VM and do not wait for the store. Methods that write return once the store has accepted or rejected the
// write, or with unknown_outcome after a timeout. Thread safety: implementations allow calls from any thread.
class fleet_service {
public:
    fleet_service() = default;
    fleet_service(const fleet_service&) = delete;
    fleet_service& operator=(const fleet_service&) = delete;
    virtual ~fleet_service() = default;

    virtual entry_status status() = 0;

    // Returns the configuration in force. Error: unavailable if there is none yet.
    virtual operations_result<configuration_view> show_configuration() = 0;

    // Applies the change to the configuration in the store. Repeating a change id has no second effect.
    // Errors: invalid, conflict, unavailable, unknown_outcome.
    virtual operations_result<change_result> propose_change(const configuration_change& change) = 0;

    // Returns the record of the pool and the observed conditions of its backend servers. Errors: not_found,
    // unavailable.
    virtual operations_result<pool_view> show_pool(const pool_name& pool) = 0;

    // Returns all entry VMs that this one knows, including itself, ordered by id.
    virtual std::vector<entry_view> list_entries() = 0;

    // Returns the progress of a declared wave. Errors: not_found, unavailable.
    virtual operations_result<wave_view> show_wave(const wave_name& wave) = 0;

    // Reserves the VM within its pool's budget, so that it gets no new work and is rebooted once drained.
    // Repeating an operation id, or a VM that is already reserved or acting, has no second effect. Errors:
    // not_found, budget_exhausted, conflict, unavailable, unknown_outcome.
    virtual operations_result<drain_result> drain_vm(const vm_id& vm, const std::string& author,
                                                     const operation_id& operation) = 0;
};

}  // namespace masticpass

#endif
