#ifndef MASTICPASS_VM_VM_CONTROL_H
#define MASTICPASS_VM_VM_CONTROL_H

#include <string>

#include <tl/expected.hpp>

#include "common/identifier.h"

namespace masticpass {

struct reboot_request {
    vm_id vm;
    operation_id operation;
    // The boot identity that the VM must have for the reboot to start.
    boot_id expected_boot;
    // The pool whose role the VM runs after the reboot.
    pool_name pool;
};

enum class reboot_error_kind {
    boot_changed,     // The VM's boot identity is not `expected_boot`; the call had no effect.
    unknown_vm,       // The VM does not exist or is terminated; the call had no effect.
    unavailable,      // The call had no effect.
    unknown_outcome,  // The reboot may have started.
};

struct [[nodiscard]] reboot_error {
    reboot_error_kind kind = reboot_error_kind::unknown_outcome;
    std::string message;
    // The VM's current boot identity if the kind is `boot_changed`.
    boot_id current_boot = boot_id();
};

// The platform's control of VMs.
// Thread safety: all methods may be called from any thread.
class vm_control {
public:
    vm_control() = default;
    vm_control(const vm_control&) = delete;
    vm_control& operator=(const vm_control&) = delete;
    virtual ~vm_control() = default;

    // Starts a graceful reboot: the VM completes the requests that run on it, then boots with a new boot
    // identity. The platform refuses the call unless the VM's boot identity is `expected_boot`, so a repeated
    // or delayed call has no effect. Returns once the reboot is accepted, or after the timeout of the
    // implementation.
    virtual tl::expected<void, reboot_error> reboot(const reboot_request& request) = 0;
};

}  // namespace masticpass

#endif
