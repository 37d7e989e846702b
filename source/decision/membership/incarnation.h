#ifndef MASTICPASS_DECISION_MEMBERSHIP_INCARNATION_H
#define MASTICPASS_DECISION_MEMBERSHIP_INCARNATION_H

#include <cstdint>

#include <absl/time/time.h>

#include "common/identifier.h"

namespace masticpass {

// Names an incarnation so that the names of one entry VM's incarnations sort in the order of their start.
// `start` is calendar time, not before 1970; two starts of one entry VM must be at least 1 microsecond apart.
// `random` keeps the names of different entry VMs apart.
incarnation_id make_incarnation_id(absl::Time start, std::uint32_t random);

// True if `left` started after `right`. Both are incarnations of one entry VM.
bool is_newer(const incarnation_id& left, const incarnation_id& right);

}  // namespace masticpass

#endif
