#ifndef MASTICPASS_JOBS_VM_SERVICE_H
#define MASTICPASS_JOBS_VM_SERVICE_H

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "common/identifier.h"
#include "decision/jobs/fleet_planner.h"
#include "decision/jobs/job_types.h"

namespace masticpass {

// Who orders, and its fence.
struct vm_order_holder {
    std::string name = {};
    fence_token fence = 0;
};

enum class vm_order_outcome {
    done,         // Under way, or done before.
    busy,         // The VM is not up, or is leaving.
    refused,      // Any other refusal. Nothing was done.
    unavailable,  // Not carried out; try again later.
    unknown,      // No answer. It may have been carried out, or may be.
};

std::string_view to_string(vm_order_outcome outcome);

// The platform's service for VMs. It may be slow or down.
// Thread safety: all methods may be called from any thread.
class vm_service {
public:
    vm_service() = default;
    vm_service(const vm_service&) = delete;
    vm_service& operator=(const vm_service&) = delete;
    virtual ~vm_service() = default;

    // All VMs. The error says why they cannot be read.
    virtual tl::expected<std::vector<fleet_vm>, std::string> list() = 0;
    // Both end everything that runs on the VM, which comes back as another worker.
    virtual vm_order_outcome move(const vm_id& vm, const pool_name& pool, const vm_order_holder& holder) = 0;
    virtual vm_order_outcome maintain(const vm_id& vm, const wave_name& wave,
                                      const vm_order_holder& holder) = 0;
};

}  // namespace masticpass

#endif
