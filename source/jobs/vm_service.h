#ifndef MASTICPASS_JOBS_VM_SERVICE_H
#define MASTICPASS_JOBS_VM_SERVICE_H

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "common/identifier.h"
#include "decision/jobs/fleet_planner.h"
#include "decision/jobs/job_types.h"

namespace masticpass {

// The shard owner that sends an order, and its fencing token.
struct vm_order_issuer {
    std::string name = {};
    fencing_token_value fencing_token = 0;
};

enum class vm_order_outcome {
    done,         // The order is in progress, or was completed earlier.
    busy,         // The order was refused because the VM is not up or is already moving away.
    refused,      // The order was refused for any other reason and had no effect.
    unavailable,  // The order was not executed and may be sent again later.
    unknown,      // No response. The order may have been executed, or may still be executed.
};

// Returns the name used in log events and metrics.
std::string_view to_string(vm_order_outcome outcome);

// The platform's VM service. Calls may be slow or fail. Thread safety: all methods may be called from any
// thread.
class vm_service {
public:
    vm_service() = default;
    vm_service(const vm_service&) = delete;
    vm_service& operator=(const vm_service&) = delete;
    virtual ~vm_service() = default;

    // Lists all VMs. The error message says why the list cannot be read.
    virtual tl::expected<fleet_vm_list, std::string> list() = 0;
    // Both orders end all runs on the VM. The VM returns with a new worker id.
    virtual vm_order_outcome move(const vm_id& vm, const pool_name& pool, const vm_order_issuer& issuer) = 0;
    virtual vm_order_outcome maintain(const vm_id& vm, const wave_name& wave,
                                      const vm_order_issuer& issuer) = 0;
};

}  // namespace masticpass

#endif
