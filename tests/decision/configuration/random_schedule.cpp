#include "decision/configuration/random_schedule.h"

#include <algorithm>
#include <array>
#include <utility>

namespace masticpass {

namespace {

constexpr int step_count = 40;
constexpr std::array<const char*, 3> team_names = {"a", "b", "c"};

}  // namespace

random_schedule::random_schedule(std::uint64_t seed, disabled_rule disabled)
    : random_(seed), disabled_(disabled), vms_(3) {
    versions_.emplace_back();
}

std::optional<std::string> random_schedule::run() {
    for (int number = 0; number < step_count; ++number) {
        step(vms_[pick(vms_.size())]);
        if (!delayed_.empty() && pick(4) == 0) {
            deliver_delayed_write();
        }
    }
    // Delayed writes that are left arrive after all steps, when they are most likely to overwrite newer
    // changes.
    while (!delayed_.empty()) {
        deliver_delayed_write();
    }
    check_versions();
    check_reports();
    return violation_;
}

void random_schedule::step(entry_vm& vm) {
    observe(vm);
    if (!vm.change) {
        // An operator whose call got no response may propose the same change again to any entry VM.
        vm.change = !finished_.empty() && pick(4) == 0 ? finished_[pick(finished_.size())] : new_change();
    }
    continue_change(vm);
}

configuration_change random_schedule::new_change() {
    const std::size_t seen = read();
    configuration_change change;
    change.id = change_id("c" + std::to_string(next_id_));
    change.author = "operator" + std::to_string(pick(3));
    change.base_revision = versions_[seen].record.revision;
    for (const char* team : team_names) {
        if (pick(2) == 0 && has_section(versions_[seen].record.configuration, {section_kind::team, team})) {
            change.removed.insert({section_kind::team, team});
            break;
        }
    }
    const std::string team = team_names[pick(team_names.size())];
    if (!change.removed.contains({section_kind::team, team})) {
        change.set.teams[team_name(team)].quota_vms = ++next_id_;
    }
    ++next_id_;
    return change;
}

// Returns the index of the newest version with a probability of two thirds, otherwise that of any version.
std::size_t random_schedule::read() {
    const std::size_t newest = versions_.size() - 1;
    return pick(3) != 0 ? newest : pick(versions_.size());
}

void random_schedule::observe(entry_vm& vm) {
    const std::int64_t revision = versions_[read()].record.revision;
    const std::int64_t refused = vm.gate.refused_older_count();
    const gate_result result = vm.gate.offer(revision);
    if ((result == gate_result::older) != (vm.gate.refused_older_count() == refused + 1)) {
        violate("refused older revisions are counted");
    }
    const std::int64_t next = disabled_ == disabled_rule::gate ? revision : vm.gate.revision();
    if (next < vm.in_force) {
        violate("the revision in force never decreases");
    }
    vm.in_force = next;
}

void random_schedule::continue_change(entry_vm& vm) {
    const std::size_t store_revision = read();
    const configuration_record& record = versions_[store_revision].record;
    if (!vm.in_doubt) {
        apply(vm, store_revision);
        return;
    }
    switch (outcome_of_write(record, *vm.in_doubt)) {
        case change_outcome::applied:
            finish(vm, vm.in_doubt->revision);
            break;
        case change_outcome::not_applied:
            vm.in_doubt.reset();
            apply(vm, store_revision);
            break;
        case change_outcome::unknown:
            if (disabled_ == disabled_rule::unknown_outcome) {
                finish(vm, std::nullopt);
            } else {
                write(vm, vm.in_doubt_expected, configuration_record(*vm.in_doubt));
            }
            break;
    }
}

void random_schedule::apply(entry_vm& vm, std::size_t store_revision) {
    configuration_record record = versions_[store_revision].record;
    configuration_change change = *vm.change;
    if (disabled_ == disabled_rule::conflict_check) {
        change.base_revision = record.revision;
    }
    if (disabled_ == disabled_rule::change_id_history) {
        record.history.clear();
        record.stamps.clear();
        change.base_revision = record.revision;
    }
    const auto applied = apply_change(record, change, {}, incarnation_id("vm"));
    if (!applied) {
        // With a stale record, the change can be neither accepted nor refused, so the entry VM reads again.
        if (applied.error().kind != change_refusal_kind::stale_record) {
            finish(vm, std::nullopt);
        }
    } else if (applied->is_repeated) {
        finish(vm, applied->revision);
    } else {
        write(vm, store_revision, applied->record);
    }
}

void random_schedule::write(entry_vm& vm, std::size_t expected, const configuration_record& record) {
    const std::uint64_t network_outcome = pick(5);
    if (network_outcome == 0) {
        delayed_.push_back({expected, record, *vm.change});
    }
    const bool is_stored = network_outcome != 0 && compare_and_swap(expected, record, *vm.change);
    const bool is_response_lost = network_outcome <= 1;
    if (is_response_lost) {
        vm.in_doubt = record;
        vm.in_doubt_expected = expected;
    } else if (is_stored) {
        finish(vm, record.revision);
    }
    // If compare-and-swap fails for a repeated write, an earlier write of the same record may have succeeded,
    // so the record stays in doubt.
}

bool random_schedule::compare_and_swap(std::size_t expected, const configuration_record& record,
                                       const configuration_change& change) {
    if (expected + 1 != versions_.size()) {
        return false;
    }
    versions_.push_back({parse_configuration_record(serialize(record)).value_or(record), change});
    return true;
}

void random_schedule::deliver_delayed_write() {
    const std::size_t index = pick(delayed_.size());
    const delayed_write late = delayed_[index];
    delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(index));
    compare_and_swap(late.expected, late.record, late.change);
}

void random_schedule::finish(entry_vm& vm, std::optional<std::int64_t> accepted_revision) {
    const auto [report, is_first] = reports_.emplace(vm.change->id, accepted_revision);
    if (!is_first && accepted_revision) {
        if (report->second && *report->second != *accepted_revision) {
            violate("a repeated change gets its first result");
        }
        report->second = accepted_revision;
    }
    if (is_first) {
        finished_.push_back(*vm.change);
    }
    vm.change.reset();
    vm.in_doubt.reset();
}

void random_schedule::violate(const std::string& rule) {
    if (!violation_) {
        violation_ = rule;
    }
}

// Checks that the stored configuration is the result of all stored changes in order, that each is stored
// once, and that none overwrites a change of the same section that is newer than its base revision.
void random_schedule::check_versions() {
    fleet_configuration replayed;
    std::map<change_id, std::int64_t> stored;
    std::map<section_key, std::int64_t> last_change;
    for (std::size_t index = 1; index < versions_.size(); ++index) {
        const auto& [record, change] = versions_[index];
        if (record.revision != static_cast<std::int64_t>(index)) {
            violate("each stored change raises the revision by one");
        }
        if (!stored.emplace(change.id, record.revision).second) {
            violate("a change has one effect");
        }
        for (const section_key& key : touched_sections(change)) {
            if (last_change[key] > change.base_revision) {
                violate("a change does not overwrite one that its author has not seen");
            }
            last_change[key] = record.revision;
        }
        for (const section_key& key : change.removed) {
            remove_section(replayed, key);
        }
        set_sections(replayed, change.set);
        if (!(record.configuration == replayed)) {
            violate("an accepted change is not lost");
        }
    }
}

void random_schedule::check_reports() {
    for (const auto& report : reports_) {
        const auto& revision = report.second;
        const auto found = std::find_if(versions_.begin() + 1, versions_.end(),
                                        [&](const version& one) { return one.change.id == report.first; });
        const bool is_stored = found != versions_.end();
        if (revision && (!is_stored || found->record.revision != *revision)) {
            violate("a change reported as accepted is stored at that revision");
        }
        if (!revision && is_stored) {
            violate("a change reported as refused is not stored");
        }
    }
}

}  // namespace masticpass
