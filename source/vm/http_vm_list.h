#ifndef MASTICPASS_VM_HTTP_VM_LIST_H
#define MASTICPASS_VM_HTTP_VM_LIST_H

#include <string>

#include "http/pooled_http_client.h"
#include "vm/vm_list.h"

namespace masticpass {

// Adapter to the platform's VM list, `GET /vms`.
// Thread safety: all methods may be called from any thread.
class http_vm_list final : public vm_list {
public:
    // `address` is the IP address and port of the platform.
    explicit http_vm_list(std::string address, const http_connection_limits& limits = {});

    tl::expected<std::optional<vm_listing>, vm_list_error> list(
        const zone_name& zone, std::optional<std::int64_t> known_index) override;

private:
    pooled_http_client client_;
};

}  // namespace masticpass

#endif
