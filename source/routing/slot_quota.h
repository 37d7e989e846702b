#ifndef MASTICPASS_ROUTING_SLOT_QUOTA_H
#define MASTICPASS_ROUTING_SLOT_QUOTA_H

#include <atomic>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include "backend/connection_quota.h"
#include "decision/serving/slot_allotment.h"

namespace masticpass {

// The slots and connections of the zone's backend servers that this entry VM may use, shared by all services.
// Thread safety: all methods may be called from any thread.
class slot_quota final : public connection_quota {
public:
    explicit slot_quota(const incarnation_id& self) : allotment_(self) {}

    // Replaces the addresses of the zone's VMs.
    void set_addresses(const std::map<vm_id, std::string>& addresses);

    void apply(const allotment_record& record);
    void record_acknowledgement(const incarnation_id& sender,
                                const allotment_acknowledgement& acknowledgement);
    void mark_terminated(const incarnation_id& incarnation);
    allotment_acknowledgement acknowledgement();

    // Replaces the VMs that get no new request, whatever slots are free on them.
    void set_blocked(const std::set<vm_id>& blocked);

    std::uint64_t epoch() const;
    // Increases when the slots that may be used can have changed.
    std::uint64_t version() const { return version_; }
    // Slots that may be used now, those in use included and abandoned ones excluded.
    int usable_slots(const vm_id& instance);
    [[nodiscard]] bool acquire_slot(const vm_id& instance);
    void release_slot(const vm_id& instance);

    // Notes that the request on an acquired slot has ended although the server may still run it. The slot
    // stays taken, also for settlement, until release_abandoned_slot.
    void abandon_slot(const vm_id& instance);
    void release_abandoned_slot(const vm_id& instance);

    // True if the VM is blocked and no request of this entry VM is in flight on it, so that none can start
    // there. Abandoned slots do not count, since a server that never answers again would keep its VM from
    // being rebooted.
    bool is_drained(const vm_id& instance) const;
    // Requests of this entry VM in flight on all VMs.
    int in_flight() const;

    // A server that is no VM of the zone gets no connection.
    bool acquire_connection(std::string_view address) override;
    void release_connection(std::string_view address) override;

private:
    void request_ended(const vm_id& instance) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    std::atomic<std::uint64_t> version_ = 0;
    mutable absl::Mutex mutex_;
    slot_allotment allotment_ ABSL_GUARDED_BY(mutex_);
    // The last announcement of each other entry VM.
    absl::flat_hash_map<incarnation_id, allotment_acknowledgement> acknowledgements_ ABSL_GUARDED_BY(mutex_);
    std::set<vm_id> blocked_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<vm_id, int> in_flight_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<vm_id, int> abandoned_slots_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<std::string, vm_id> vms_by_address_ ABSL_GUARDED_BY(mutex_);
    // The VM that each open connection was counted for, since an address can pass to another VM meanwhile.
    absl::flat_hash_map<std::string, std::vector<vm_id>> connections_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass

#endif
