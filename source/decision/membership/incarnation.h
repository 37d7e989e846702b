#ifndef MASTICPASS_DECISION_MEMBERSHIP_INCARNATION_H
#define MASTICPASS_DECISION_MEMBERSHIP_INCARNATION_H

#include <cstdint>

#include <absl/time/time.h>

#include "common/identifier.h"

namespace masticpass {

// Creates an incarnation identifier. The identifiers of one entry VM's incarnations sort in the order of
// their start. `start` is wall-clock time, not before 1970; two starts of one entry VM must be at least 1
// microsecond apart. `random` distinguishes the identifiers of different entry VMs.
incarnation_id make_incarnation_id(absl::Time start, std::uint32_t random);

// Returns whether `left` started after `right`. Both must be incarnations of one entry VM.
bool is_newer(const incarnation_id& left, const incarnation_id& right);

}  // namespace masticpass

#endif
