#include "operations/operations_error.h"

namespace masticpass {

std::string_view to_string(operations_error_code code) {
    switch (code) {
        case operations_error_code::invalid:
            return "invalid";
        case operations_error_code::not_found:
            return "not-found";
        case operations_error_code::conflict:
            return "conflict";
        case operations_error_code::unavailable:
            return "unavailable";
        case operations_error_code::unknown_outcome:
            return "unknown-outcome";
        case operations_error_code::budget_exhausted:
            return "budget-exhausted";
        case operations_error_code::internal:
            return "internal";
        case operations_error_code::unreachable:
            return "unreachable";
    }
    return "internal";
}

}  // namespace masticpass
