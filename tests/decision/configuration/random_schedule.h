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

// Which rule a schedule leaves out, to show that the checks notice.
enum class disabled_rule {
    none,
    // The base revision is taken to be that of the record read.
    conflict_check,
    // The record's history is emptied before a change is applied.
    change_id_history,
    // A writer reports a refusal although an earlier write of the same change has an unknown outcome.
    unknown_outcome,
    // An observer takes each revision that it reads.
    gate,
};

// Three entry VMs that apply changes of racing operators to one stored record. Reads may be stale, responses
// of writes may be lost, and writes may take effect late. The order of steps follows from the seed alone.
class random_schedule {
public:
    random_schedule(std::uint64_t seed, disabled_rule disabled);

    // Runs the schedule and returns the first rule that was violated; nullopt if all held.
    std::optional<std::string> run();

private:
    // A record in the store; its index is the store revision.
    struct version {
        configuration_record record;
        configuration_change change;
    };

    // A write whose request is on its way to the store.
    struct delayed_write {
        std::size_t expected;
        configuration_record record;
        configuration_change change;
    };

    struct entry_vm {
        std::optional<configuration_change> change;
        // The write of this change whose outcome is unknown.
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
    // What operators were told: the revision, or nullopt for a refusal.
    std::map<change_id, std::optional<std::int64_t>> reports_;
    std::vector<configuration_change> finished_;
    int next_id_ = 0;
    std::optional<std::string> violation_;
};

}  // namespace masticpass

#endif
