#ifndef MASTICPASS_DECISION_CONFIGURATION_RANDOM_SCHEDULE_H
#define MASTICPASS_DECISION_CONFIGURATION_RANDOM_SCHEDULE_H

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "decision/configuration/apply_change.h"
#include "decision/configuration/revision_gate.h"

namespace masticpass {

// The rule that a schedule does not follow, to show that the checks detect its violation.
enum class disabled_rule {
    none,
    // The base revision of a change is replaced by the revision of the record read, which disables conflict
    // detection.
    conflict_check,
    // The history and the stamps of the record are cleared before a change is applied, so repeated changes
    // are not recognised.
    change_id_history,
    // A writer reports a refusal although the outcome of an earlier write of the same change is unknown.
    unknown_outcome,
    // An entry VM puts each revision that it reads in force, even an older one.
    gate,
};

// Simulates three entry VMs that apply changes of concurrent operators to one stored record. Reads may be
// stale, responses to writes may be lost, and writes may take effect late. The seed alone determines the
// order of steps. Not thread-safe.
class random_schedule {
public:
    random_schedule(std::uint64_t seed, disabled_rule disabled);

    // Runs the schedule. Returns the first rule that was violated, or nullopt if there is none.
    std::optional<std::string> run();

private:
    // A record in the store. Its index in versions_ is the store revision.
    struct version {
        configuration_record record;
        configuration_change change;
    };

    // A write whose request has not reached the store yet.
    struct delayed_write {
        std::size_t expected;
        configuration_record record;
        configuration_change change;
    };

    struct entry_vm {
        std::optional<configuration_change> change;
        // The record of a write of this change whose outcome is unknown.
        std::optional<configuration_record> in_doubt;
        std::size_t in_doubt_expected = 0;
        revision_gate gate;
        std::int64_t in_force = 0;
    };

    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }
    configuration_change new_change();
    std::size_t read();
    bool compare_and_swap(std::size_t expected, const configuration_record& record,
                          const configuration_change& change);

    void step(entry_vm& vm);
    void observe(entry_vm& vm);
    void continue_change(entry_vm& vm);
    void apply(entry_vm& vm, std::size_t store_revision);
    void write(entry_vm& vm, std::size_t expected, const configuration_record& record);
    void finish(entry_vm& vm, std::optional<std::int64_t> accepted_revision);
    void deliver_delayed_write();

    void violate(const std::string& rule);
    void check_reports();
    void check_versions();

    std::mt19937_64 random_;
    disabled_rule disabled_;
    std::vector<version> versions_;
    std::vector<delayed_write> delayed_;
    std::vector<entry_vm> vms_;
    // The results reported to operators: the revision, or nullopt for a refusal.
    std::map<change_id, std::optional<std::int64_t>> reports_;
    std::vector<configuration_change> finished_;
    int next_id_ = 0;
    std::optional<std::string> violation_;
};

}  // namespace masticpass

#endif
