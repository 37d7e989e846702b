#ifndef MASTICPASS_STANDIN_VM_FLEET_H
#define MASTICPASS_STANDIN_VM_FLEET_H

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "vm/vm_control.h"
#include "vm/vm_list.h"

namespace masticpass::standin {

// Notifies the backend server on a VM that the VM reboots. `graceful` is false for a crash. Returns after the
// backend server has completed its requests and restarted.
using reboot_notifier =
    std::function<void(const listed_vm& vm, const boot_id& next_boot, const pool_name& pool, bool graceful)>;

// Simulates the VMs of the platform: their states, their reboots, and the history of the VM list, from which
// an outdated list can be returned.
// Thread safety: all methods may be called from any thread.
class vm_fleet {
public:
    // `reboot_time` is the time from the end of one run of a VM to the start of the next. A VM without a boot
    // identity gets a generated one.
    vm_fleet(const std::vector<listed_vm>& vms, absl::Duration reboot_time, reboot_notifier notify_backend);
    // Abandons the reboots in progress and joins their threads.
    ~vm_fleet();
    vm_fleet(const vm_fleet&) = delete;
    vm_fleet& operator=(const vm_fleet&) = delete;

    // Returns the VM list as it was `lag` ago, for one zone, or for all zones if `zone` is empty.
    vm_listing list(const zone_name& zone, absl::Duration lag) const;

    // Starts a graceful reboot. A repeated call during the reboot has no effect.
    tl::expected<void, reboot_error> reboot(const reboot_request& request);

    // Ends the run of the VM at once, as a crash does. The VM boots again after the reboot time. Returns
    // false if the VM is unknown or terminated.
    bool crash(const vm_id& vm);
    // Sets the state of the VM in the list. Returns false, without an effect, if the VM is unknown or
    // terminated.
    bool set_state(const vm_id& vm, vm_state state);

private:
    struct vm_record {
        listed_vm listed;
        std::int64_t boots = 0;
        bool is_rebooting = false;
    };
    struct dated_listing {
        absl::Time time;
        std::int64_t index = 0;
        std::vector<listed_vm> vms;
    };
    struct reboot_thread {
        std::thread thread;
        std::shared_ptr<bool> is_done;
    };

    void start_reboot(vm_record& record, const pool_name& pool, bool graceful)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void run_reboot(const listed_vm& vm, const boot_id& next_boot, const pool_name& pool, bool graceful,
                    const std::shared_ptr<bool>& is_done);
    void join_finished() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void publish() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const absl::Duration reboot_time_;
    const reboot_notifier notify_backend_;
    mutable absl::Mutex mutex_;
    std::map<std::string, vm_record> vms_ ABSL_GUARDED_BY(mutex_);
    // Oldest first. The last element is the current list.
    std::deque<dated_listing> listings_ ABSL_GUARDED_BY(mutex_);
    std::int64_t index_ ABSL_GUARDED_BY(mutex_) = 0;
    bool is_stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::list<reboot_thread> reboots_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass::standin

#endif
