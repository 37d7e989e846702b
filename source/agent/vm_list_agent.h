#ifndef MASTICPASS_AGENT_VM_LIST_AGENT_H
#define MASTICPASS_AGENT_VM_LIST_AGENT_H

#include <functional>
#include <memory>
#include <optional>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "agent/periodic_thread.h"
#include "telemetry/metrics.h"
#include "vm/vm_list.h"

namespace masticpass {

// Polls the platform's VM list and keeps the newest version. Ownership: owns one thread; borrows the list and
// the metrics. Thread safety: `latest` may be called from any thread.
class vm_list_agent {
public:
    // `on_change` is called on the agent's thread with each version of the list that is newer than the
    // previous one.
    vm_list_agent(vm_list& list, absl::Duration interval, metrics_registry& metrics,
                  std::function<void(const vm_listing&)> on_change);

    // Returns the newest version of the list; an empty list with index 0 before the first response.
    std::shared_ptr<const vm_listing> latest() const;

private:
    void poll();
    // Counts and logs the VMs that were skipped, if they differ from those of the previous list.
    void report_skipped(const vm_listing& listing, const vm_listing& previous);

    vm_list& list_;
    metrics_registry& metrics_;
    const std::function<void(const vm_listing&)> on_change_;
    mutable absl::Mutex mutex_;
    std::shared_ptr<const vm_listing> latest_ ABSL_GUARDED_BY(mutex_) = std::make_shared<vm_listing>();
    periodic_thread thread_;
};

}  // namespace masticpass

#endif
