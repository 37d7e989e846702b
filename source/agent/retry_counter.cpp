#include "agent/retry_counter.h"

namespace masticpass {

std::string_view to_string(retry_reason reason) {
    switch (reason) {
        case retry_reason::store_unavailable:
            return "store-unavailable";
        case retry_reason::unknown_outcome:
            return "unknown-outcome";
        case retry_reason::conflict:
            return "conflict";
        case retry_reason::old_data:
            return "old-data";
        case retry_reason::compacted:
            return "compacted";
        case retry_reason::lease_lost:
            return "lease-lost";
        case retry_reason::superseded:
            return "superseded";
    }
    return "store-unavailable";
}

retry_reason to_retry_reason(store_error_kind kind) {
    switch (kind) {
        case store_error_kind::unknown_outcome:
            return retry_reason::unknown_outcome;
        case store_error_kind::conflict:
            return retry_reason::conflict;
        case store_error_kind::unavailable:
        case store_error_kind::not_found:
        case store_error_kind::too_large:
            break;
    }
    return retry_reason::store_unavailable;
}

}  // namespace masticpass
