#ifndef MASTICPASS_DECISION_CONFIGURATION_APPLY_CHANGE_H
#define MASTICPASS_DECISION_CONFIGURATION_APPLY_CHANGE_H

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "decision/configuration/configuration_change.h"
#include "decision/configuration/configuration_record.h"
#include "decision/configuration/validate.h"

namespace masticpass {

// A section that changed after the base revision of a change.
struct section_conflict {
    section_key section;
    // Who changed it last, and the revision of that change. If the section was removed so long ago that the
    // history no longer tells, the author is empty and the revision is the oldest one that the history
    // covers.
    std::string author;
    std::int64_t revision = 0;
};

enum class change_refusal_kind {
    // The change itself is wrong; proposing it again does not help.
    invalid,
    // Another change came first; look at it and propose again.
    conflict,
    // The base revision is newer than the record that the change was applied to, which is stale.
    stale_record,
};

struct change_refusal {
    change_refusal_kind kind = change_refusal_kind::invalid;
    // All reasons, for every kind.
    configuration_problems problems;
    // Set for `conflict`.
    std::vector<section_conflict> conflicts;
};

struct applied_change {
    // The revision that contains the change.
    std::int64_t revision = 0;
    // The record contained the change before; there is nothing to write.
    bool is_repeated = false;
    // The record to write by compare-and-swap, or the record as it is if the change is repeated.
    configuration_record record;
};

// Applies a change to the record read from the store. The change is accepted once the store has the returned
// record. A change is refused for a validation problem only if the configuration in force does not have the
// same problem, because use may have grown since it was declared, and unrelated changes must still be
// possible.
tl::expected<applied_change, change_refusal> apply_change(const configuration_record& record,
                                                          const configuration_change& change,
                                                          const configuration_usage& usage,
                                                          const incarnation_id& writer);

}  // namespace masticpass

#endif
