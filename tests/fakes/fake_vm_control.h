#ifndef MASTICPASS_FAKES_FAKE_VM_CONTROL_H
#define MASTICPASS_FAKES_FAKE_VM_CONTROL_H

#include <functional>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include "vm/vm_control.h"

namespace masticpass::fakes {

// A VM control in memory. A test completes a reboot by calling `set_boot` with a new boot identity.
// Thread safety: all methods may be called from any thread.
class fake_vm_control final : public vm_control {
public:
    using call_hook = std::function<void(const reboot_request& request)>;

    tl::expected<void, reboot_error> reboot(const reboot_request& request) override;

    // Adds a VM, or sets its boot identity.
    void set_boot(const vm_id& vm, const boot_id& boot);
    // While set, all calls fail with `unavailable`.
    void set_down(bool down);
    // The next `count` calls take effect and fail with `unknown_outcome`.
    void lose_responses(int count);
    // The next `count` calls have no effect and fail with `unknown_outcome`.
    void lose_requests(int count);
    // Sets a function that is called before each call, without a lock held, for example to delay it.
    void set_hook(call_hook hook);

    // Returns all calls so far.
    std::vector<reboot_request> requests() const;
    // Returns the calls that started a reboot. Repeated calls with the same boot identity are not included.
    std::vector<reboot_request> started() const;

private:
    tl::expected<void, reboot_error> start_reboot(const reboot_request& request)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    mutable absl::Mutex mutex_;
    absl::flat_hash_map<vm_id, boot_id> boots_ ABSL_GUARDED_BY(mutex_);
    bool is_down_ ABSL_GUARDED_BY(mutex_) = false;
    int responses_to_lose_ ABSL_GUARDED_BY(mutex_) = 0;
    int requests_to_lose_ ABSL_GUARDED_BY(mutex_) = 0;
    call_hook hook_ ABSL_GUARDED_BY(mutex_);
    std::vector<reboot_request> requests_ ABSL_GUARDED_BY(mutex_);
    std::vector<reboot_request> started_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass::fakes

#endif
