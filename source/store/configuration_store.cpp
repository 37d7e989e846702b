#include "store/configuration_store.h"

namespace masticpass {

std::string_view to_string(store_error_kind kind) {
    switch (kind) {
        case store_error_kind::unavailable:
            return "unavailable";
        case store_error_kind::unknown_outcome:
            return "unknown-outcome";
        case store_error_kind::conflict:
            return "conflict";
        case store_error_kind::not_found:
            return "not-found";
        case store_error_kind::too_large:
            return "too-large";
    }
    return "unknown-outcome";
}

}  // namespace masticpass
