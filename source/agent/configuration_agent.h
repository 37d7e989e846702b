#ifndef MASTICPASS_AGENT_CONFIGURATION_AGENT_H
#define MASTICPASS_AGENT_CONFIGURATION_AGENT_H

#include <stop_token>

#include <absl/random/random.h>

#include "agent/conditional_writer.h"
#include "agent/fleet_state.h"
#include "agent/record_cache.h"
#include "operations/fleet_service.h"

namespace masticpass {

// Brings operators' changes into the store's configuration record.
// Ownership: borrows everything passed in.
// Thread safety: `propose` may be called from any thread.
class configuration_agent {
public:
    configuration_agent(const incarnation_id& self, configuration_store& store, retry_counter& retries,
                        const clock& time_source, record_cache& records, const fleet_state& fleet);

    // Applies the change to the record in the store. Returns when the store has it or it is refused, or after
    // the timeout with `unknown_outcome`. Errors: invalid, conflict, unavailable, unknown_outcome.
    operations_result<change_result> propose(const configuration_change& change, const std::stop_token& stop);

private:
    configuration_usage usage() const;

    const incarnation_id self_;
    configuration_store& store_;
    retry_counter& retries_;
    const clock& clock_;
    record_cache& records_;
    const fleet_state& fleet_;
};

}  // namespace masticpass

#endif
