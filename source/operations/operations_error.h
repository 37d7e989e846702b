#ifndef MASTICPASS_OPERATIONS_OPERATIONS_ERROR_H
#define MASTICPASS_OPERATIONS_OPERATIONS_ERROR_H

#include <string>
#include <string_view>
#include <vector>

#include "decision/configuration/apply_change.h"

namespace masticpass {

// The values are the JSON-RPC error codes of the operations interface.
enum class operations_error_code {
    // The call is invalid and had no effect.
    invalid = 1001,
    // The object that the call names does not exist; the call had no effect.
    not_found = 1002,
    // Another change of the same section or record was accepted first; the call had no effect.
    conflict = 1003,
    // The store or the entry VM cannot carry out the call at present; the call had no effect. Repeating it
    // may succeed.
    unavailable = 1004,
    // The call may have taken effect. Repeating it with the same change or operation id is safe.
    unknown_outcome = 1005,
    // The availability budget does not allow the operation at present; the call had no effect.
    budget_exhausted = 1006,
    // The entry VM had an internal error; the call may have taken effect.
    internal = 1007,
    // The client could not connect to the entry VM, so the call had no effect. Entry VMs do not return this
    // code.
    unreachable = 1008,
};

// Returns the name that the command line prints, for example "not-found".
std::string_view to_string(operations_error_code code);

// Why a call of the operations interface failed.
struct operations_error {
    operations_error_code code = operations_error_code::internal;
    // A description in one sentence.
    std::string message;
    // All reasons, if there may be several.
    configuration_problems problems = {};
    // The conflicting sections if the code is `conflict` and the call proposed a change; otherwise empty.
    std::vector<section_conflict> conflicts = {};
};

}  // namespace masticpass

#endif
