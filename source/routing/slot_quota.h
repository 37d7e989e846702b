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

// The slots and connections of the zone's backend servers that this entry VM may use, and those that it uses,
// counted over all services.
// Thread safety: all methods may be called from any thread.
class slot_quota final : public connection_quota {
public:
    explicit slot_quota(const incarnation_id& self) : allotment_(self) {}

    // Replaces the addresses of the VMs that may get connections.
    void set_addresses(const std::map<vm_id, std::string>& addresses);

    // See the methods of slot_allotment with the same names.
    void apply(const allotment_record& record);
    void record_acknowledgement(const incarnation_id& sender,
                                const allotment_acknowledgement& acknowledgement);
    void mark_terminated(const incarnation_id& incarnation);
    allotment_acknowledgement acknowledgement();

    // Replaces the set of VMs that get no new requests, even if they have free slots.
    void set_blocked(const std::set<vm_id>& blocked);

    std::uint64_t epoch() const;
    // Increases whenever the usable slots may have changed.
    std::uint64_t version() const { return version_; }
    // Slots that may be used now, including those in use and excluding abandoned ones.
    int usable_slots(const vm_id& instance);
    [[nodiscard]] bool acquire_slot(const vm_id& instance);
    void release_slot(const vm_id& instance);

    // Records that the request on an acquired slot has ended while the server may still run it. Until
    // release_abandoned_slot, the slot counts as in use, also for the acknowledgement.
    void abandon_slot(const vm_id& instance);
    void release_abandoned_slot(const vm_id& instance);

    // Whether the VM is blocked and has no request of this entry VM in flight. Then none can start there.
    // Abandoned slots do not count, since a server that never responds again would prevent the reboot of its
    // VM.
    bool is_drained(const vm_id& instance) const;
    // Number of requests of this entry VM in flight on all VMs.
    int in_flight() const;

    // False also if no known VM has the address.
    bool acquire_connection(std::string_view address) override;
    void release_connection(std::string_view address) override;

private:
    void request_ended(const vm_id& instance) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    std::atomic<std::uint64_t> version_ = 0;
    mutable absl::Mutex mutex_;
    slot_allotment allotment_ ABSL_GUARDED_BY(mutex_);
    // The last acknowledgement of each other entry VM.
    absl::flat_hash_map<incarnation_id, allotment_acknowledgement> acknowledgements_ ABSL_GUARDED_BY(mutex_);
    std::set<vm_id> blocked_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<vm_id, int> in_flight_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<vm_id, int> abandoned_slots_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<std::string, vm_id> vms_by_address_ ABSL_GUARDED_BY(mutex_);
    // For each address, the VMs for which its open connections were counted, oldest first. The address may
    // pass to another VM while a connection is open.
    absl::flat_hash_map<std::string, std::vector<vm_id>> connections_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass

#endif
