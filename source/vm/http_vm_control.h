#ifndef MASTICPASS_VM_HTTP_VM_CONTROL_H
#define MASTICPASS_VM_HTTP_VM_CONTROL_H

#include <string>

#include "http/pooled_http_client.h"
#include "vm/vm_control.h"

namespace masticpass {

// Adapter to the platform's VM control, `POST /vms/{vm}/reboot`.
// Thread safety: all methods may be called from any thread.
class http_vm_control final : public vm_control {
public:
    // `address` is the IP address and port of the platform.
    explicit http_vm_control(std::string address, const http_connection_limits& limits = {});

    tl::expected<void, reboot_error> reboot(const reboot_request& request) override;

private:
    pooled_http_client client_;
};

}  // namespace masticpass

#endif
