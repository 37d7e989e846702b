#ifndef MASTICPASS_AGENT_RETRY_COUNTER_H
#define MASTICPASS_AGENT_RETRY_COUNTER_H

#include <string_view>

#include "store/configuration_store.h"

namespace masticpass {

// Why an agent retries.
enum class retry_reason {
    store_unavailable,  // A call to the store failed without effect.
    unknown_outcome,    // A write may have taken effect.
    conflict,           // Another writer changed the record first.
    old_data,           // The store returned data older than what it had returned before.
    compacted,          // The store had discarded the changes from which a watch should continue.
    lease_lost,         // The lease expired before it was renewed.
    superseded,         // A newer incarnation of the same entry VM is registered.
};

// Returns the name used in metrics, for example "store-unavailable".
std::string_view to_string(retry_reason reason);

// Returns the reason for a retry after an error of the store.
retry_reason to_retry_reason(store_error_kind kind);

// Counts the retries of agents by reason.
// Thread safety: all methods may be called from any thread.
class retry_counter {
public:
    retry_counter() = default;
    retry_counter(const retry_counter&) = delete;
    retry_counter& operator=(const retry_counter&) = delete;
    virtual ~retry_counter() = default;

    virtual void count(retry_reason reason) = 0;
};

}  // namespace masticpass

#endif
