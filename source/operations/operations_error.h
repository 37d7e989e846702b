#ifndef MASTICPASS_OPERATIONS_OPERATIONS_ERROR_H
#define MASTICPASS_OPERATIONS_OPERATIONS_ERROR_H

#include <string>
#include <string_view>
#include <vector>

#include "decision/configuration/apply_change.h"

namespace masticpass {

// The numbers are the JSON-RPC error codes of the operators' interface.
enum class operations_error_code {
    // The call is wrong; no effect.
    invalid = 1001,
    // The object that the call names does not exist; no effect.
    not_found = 1002,
    // Another change of the same section came first; no effect.
    conflict = 1003,
    // The store or this entry VM cannot do it now; no effect. A new try may succeed.
    unavailable = 1004,
    // The call may have taken effect. The same call with the same change or operation id is safe.
    unknown_outcome = 1005,
    // The availability budget leaves no room now; no effect.
    budget_exhausted = 1006,
    // A fault of the entry VM; the call may have taken effect.
    internal = 1007,
    // No connection to the entry VM, so no effect. Only the client reports it.
    unreachable = 1008,
};

std::string_view to_string(operations_error_code code);

// Why a call of the operators' interface has no result.
struct operations_error {
    operations_error_code code = operations_error_code::internal;
    // One sentence.
    std::string message;
    // All reasons, if there are several.
    configuration_problems problems = {};
    // Set for `conflict`.
    std::vector<section_conflict> conflicts = {};
};

}  // namespace masticpass

#endif
