#include "agent/vm_list_agent.h"

#include <utility>

#include "telemetry/log.h"

namespace masticpass {

vm_list_agent::vm_list_agent(vm_list& list, absl::Duration interval, metrics_registry& metrics,
                             std::function<void(const vm_listing&)> on_change)
    : list_(list),
      metrics_(metrics),
      on_change_(std::move(on_change)),
      thread_(interval, [this] { poll(); }) {}

std::shared_ptr<const vm_listing> vm_list_agent::latest() const {
    const absl::MutexLock lock(&mutex_);
    return latest_;
}

void vm_list_agent::poll() {
    const auto previous = latest();
    const std::int64_t known_index = previous->index;
    auto response = list_.list(zone_name(), known_index);
    if (!response) {
        metrics_.count({"masticpass_platform_errors_total", "call", "vm-list"});
        return;
    }
    // A response with an older index is stale.
    if (!response->has_value() || (**response).index <= known_index) {
        return;
    }
    const auto listing = std::make_shared<const vm_listing>(std::move(**response));
    {
        const absl::MutexLock lock(&mutex_);
        latest_ = listing;
    }
    report_skipped(*listing, *previous);
    on_change_(*listing);
}

void vm_list_agent::report_skipped(const vm_listing& listing, const vm_listing& previous) {
    if (listing.skipped == previous.skipped) {
        return;
    }
    for (const skipped_vm& skipped : listing.skipped) {
        metrics_.count({"masticpass_vm_list_skipped_total", "missing", skipped.missing});
        log_event(log_severity::warning, "listed_vm_skipped",
                  {{"vm", skipped.vm.value()}, {"missing", skipped.missing}});
    }
}

}  // namespace masticpass
