#ifndef MASTICPASS_AGENT_CONFIGURATION_AGENT_H
#define MASTICPASS_AGENT_CONFIGURATION_AGENT_H

#include <stop_token>

#include <absl/random/random.h>

#include "agent/conditional_writer.h"
#include "agent/fleet_state.h"
#include "agent/record_cache.h"
#include "operations/fleet_service.h"

namespace masticpass {

// Applies operators' changes to the configuration record in the store.
// Ownership: borrows everything passed in.
// Thread safety: `propose` may be called from any thread.
class configuration_agent {
public:
    configuration_agent(const incarnation_id& self, configuration_store& store, retry_counter& retries,
                        const clock& time_source, record_cache& records, const fleet_state& fleet);

    // Applies the change to the record in the store. Blocks until the change is stored or refused, the
    // timeout passes, or `stop` is requested. Errors: invalid, conflict, internal (the stored record cannot
    // be parsed), unavailable (the change had no effect), unknown_outcome (the change may have taken effect).
    operations_result<change_result> propose(const configuration_change& change, const std::stop_token& stop);

private:
    // Returns the sizes of the pools, which limit the valid changes.
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
