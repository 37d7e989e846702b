#ifndef MASTICPASS_DECISION_CONFIGURATION_CONFIGURATION_RECORD_H
#define MASTICPASS_DECISION_CONFIGURATION_CONFIGURATION_RECORD_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "common/identifier.h"
#include "decision/configuration/configuration_problem.h"
#include "decision/configuration/fleet_configuration.h"

namespace masticpass {

// The most change ids that the record keeps.
inline constexpr std::size_t max_history_changes = 256;

// The store takes values up to 1 MB.
inline constexpr std::size_t max_record_bytes = 1000000;

// One change that a record contains.
struct accepted_change {
    change_id id;
    std::string author;
    // The revision that the change created.
    std::int64_t revision = 0;
    // Sections set or removed.
    std::set<section_key> sections;

    friend bool operator==(const accepted_change&, const accepted_change&) = default;
};

// The last change of a section that exists.
struct section_stamp {
    std::int64_t revision = 0;
    std::string author;

    friend bool operator==(const section_stamp&, const section_stamp&) = default;
};

// The content of the store key `config`. Each accepted change raises the revision by one.
struct configuration_record {
    // 0 before the first change.
    std::int64_t revision = 0;
    fleet_configuration configuration;
    // Each section of the configuration has a stamp. It detects conflicts also after the change left the
    // history.
    std::map<section_key, section_stamp> stamps;
    // The newest changes, oldest first, at most max_history_changes. The last one created `revision`.
    std::vector<accepted_change> history;
    // The incarnation that wrote the record.
    incarnation_id writer;

    friend bool operator==(const configuration_record&, const configuration_record&) = default;
};

// The record as JSON text.
std::string serialize(const configuration_record& record);

// Reads what serialize() writes, strictly: unknown or missing members, wrong types, and a history or stamps
// that do not fit the revision are refused.
tl::expected<configuration_record, configuration_problems> parse_configuration_record(std::string_view text);

enum class change_outcome {
    applied,
    // The store has another change at that revision, so the write can take effect neither now nor later.
    not_applied,
    // The record read is older than the write, because the write is missing or late or the read is stale, or
    // it is so much newer that its history no longer tells. Writing the same record again on the same store
    // revision is safe, as at most one of the writes takes effect.
    unknown,
};

// What became of a write whose response was lost, judged by a record read since. `written` is the record of
// that write; its revision must be at least 1.
change_outcome outcome_of_write(const configuration_record& read, const configuration_record& written);

}  // namespace masticpass

#endif
