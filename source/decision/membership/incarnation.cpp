#include "decision/membership/incarnation.h"

#include <absl/strings/str_format.h>

namespace masticpass {

incarnation_id make_incarnation_id(absl::Time start, std::uint32_t random) {
    // The fixed width makes the identifiers sort in numerical order.
    return incarnation_id(absl::StrFormat("%016x-%08x", absl::ToUnixMicros(start), random));
}

bool is_newer(const incarnation_id& left, const incarnation_id& right) {
    return left.value() > right.value();
}

}  // namespace masticpass
