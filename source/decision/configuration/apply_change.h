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

// A section of a proposed change that another change modified after the base revision.
struct section_conflict {
    section_key section;
    // The author and revision of the last change of the section. If the section does not exist and the
    // history does not reach back to the base revision, a removal cannot be ruled out: the author is then
    // empty and the revision is the oldest one that the history covers.
    std::string author;
    std::int64_t revision = 0;
};

enum class change_refusal_kind {
    // The change itself is invalid; proposing it again does not help.
    invalid,
    // Another change of the same section was accepted first. The author must review it and propose a change
    // with a newer base revision.
    conflict,
    // The record that the change was applied to is stale: the base revision is newer than its revision.
    stale_record,
};

// Why a change was not applied.
struct change_refusal {
    change_refusal_kind kind = change_refusal_kind::invalid;
    // All reasons; not empty for any kind.
    configuration_problems problems;
    // Empty unless the kind is `conflict`.
    std::vector<section_conflict> conflicts;
};

// The result of applying a change to a record.
struct applied_change {
    // The revision that contains the change.
    std::int64_t revision = 0;
    // The record already contained the change, so nothing needs to be written.
    bool is_repeated = false;
    // The new record to write by compare-and-swap, or the unchanged record if the change is repeated.
    configuration_record record;
};

// Applies a change to the record read from the store. The change is accepted once the returned record is
// stored. `writer` is the incarnation that writes it.
//
// A validation problem that the configuration of `record` already has does not lead to a refusal: usage may
// have grown since that configuration was declared, and unrelated changes must remain possible.
tl::expected<applied_change, change_refusal> apply_change(const configuration_record& record,
                                                          const configuration_change& change,
                                                          const configuration_usage& usage,
                                                          const incarnation_id& writer);

}  // namespace masticpass

#endif
