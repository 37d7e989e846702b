#ifndef MASTICPASS_AGENT_METRICS_RETRY_COUNTER_H
#define MASTICPASS_AGENT_METRICS_RETRY_COUNTER_H

#include <string>

#include "agent/retry_counter.h"
#include "telemetry/metrics.h"

namespace masticpass {

// Counts the retries of agents in the metrics registry.
// Thread safety: may be called from any thread.
class metrics_retry_counter final : public retry_counter {
public:
    explicit metrics_retry_counter(metrics_registry& metrics) : metrics_(metrics) {}

    void count(retry_reason reason) override {
        metrics_.count({"masticpass_store_retries_total", "reason", std::string(to_string(reason))});
    }

private:
    metrics_registry& metrics_;
};

}  // namespace masticpass

#endif
