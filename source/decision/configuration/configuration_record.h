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

// Maximum number of accepted changes that the record keeps.
inline constexpr std::size_t maximum_history_changes = 256;

// Maximum size of the serialized record. The store accepts values of up to 1 MB.
inline constexpr std::size_t maximum_record_bytes = 1000000;

// A change that a record contains.
struct accepted_change {
    change_id id;
    std::string author;
    // The revision that the change created.
    std::int64_t revision = 0;
    // Sections that the change set or removed.
    std::set<section_key> sections;

    friend bool operator==(const accepted_change&, const accepted_change&) = default;
};

// The last change of a section that the configuration contains.
struct section_stamp {
    std::int64_t revision = 0;
    std::string author;

    friend bool operator==(const section_stamp&, const section_stamp&) = default;
};

// The value of the store key `config`. Each accepted change increments the revision by one.
struct configuration_record {
    // 0 before the first change.
    std::int64_t revision = 0;
    fleet_configuration configuration;
    // One stamp for each section of the configuration. A stamp allows conflicts to be detected after the
    // change has left the history.
    std::map<section_key, section_stamp> stamps;
    // The newest changes in ascending order of revision, at most maximum_history_changes. The last one
    // created `revision`.
    std::vector<accepted_change> history;
    // The incarnation of the entry VM that wrote the record.
    incarnation_id writer;

    friend bool operator==(const configuration_record&, const configuration_record&) = default;
};

// Returns the record as JSON text.
std::string serialize(const configuration_record& record);

// Strictly parses the format of serialize(). Returns all problems if members are unknown or missing, types
// are wrong, or the history or the stamps are inconsistent with the revision and the sections.
tl::expected<configuration_record, configuration_problems> parse_configuration_record(std::string_view text);

// The outcome of a write whose response was lost.
enum class change_outcome {
    // The store contains the change.
    applied,
    // The store contains another change at that revision, so the write has not taken effect and never will.
    not_applied,
    // The outcome cannot be determined. Either the record read is older than the write, because the write was
    // lost or delayed or the read is stale, or it is so much newer that its history no longer covers the
    // write. Repeating the write of the same record with the same expected store revision is safe, as at most
    // one of the writes takes effect.
    unknown,
};

// Determines the outcome of a write whose response was lost from a record `read` afterwards. `written` is the
// record of that write; its revision must be at least 1.
change_outcome outcome_of_write(const configuration_record& read, const configuration_record& written);

}  // namespace masticpass

#endif
