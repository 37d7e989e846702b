#include "decision/configuration/apply_change.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <absl/strings/str_cat.h>

#include "decision/configuration/json_object_reader.h"

namespace masticpass {

namespace {

constexpr std::size_t maximum_author_bytes = 128;

tl::unexpected<change_refusal> make_refusal(change_refusal_kind kind, configuration_problems problems) {
    return tl::unexpected(change_refusal{.kind = kind, .problems = std::move(problems), .conflicts = {}});
}

const accepted_change* find_accepted_change(const configuration_record& record, const change_id& id) {
    const auto found = std::find_if(record.history.begin(), record.history.end(),
                                    [&](const accepted_change& candidate) { return candidate.id == id; });
    return found == record.history.end() ? nullptr : &*found;
}

// Requires a length of 1 to maximum_author_bytes and text that survives a JSON round trip. Text that is not
// valid UTF-8 is altered when the record is serialized, so a repeated change would not be recognised by its
// author.
bool is_valid_author(const std::string& author) {
    Json::Value list(Json::arrayValue);
    list.append(author);
    const auto stored = parse_json(write_json(list));
    return !author.empty() && author.size() <= maximum_author_bytes && stored && *stored == list;
}

configuration_problems check_change_fields(const configuration_change& change) {
    configuration_problems problems;
    if (!is_configuration_name(change.id.value())) {
        problems.push_back({"change", "expected an id of 1 to 63 letters, digits, '-', '_' or '.'"});
    }
    if (!is_valid_author(change.author)) {
        problems.push_back(
            {"author", absl::StrCat("expected 1 to ", maximum_author_bytes, " bytes in UTF-8")});
    }
    if (change.base_revision < 0) {
        problems.push_back({"base_revision", "expected 0 or more"});
    }
    if (touched_sections(change).empty()) {
        problems.push_back({"set", "expected at least one section to set or remove"});
    }
    for (const section_key& key : change.removed) {
        if (has_section(change.set, key)) {
            problems.push_back({to_string(key), "is both set and removed"});
        }
    }
    return problems;
}

// Returns the last change of the section if it was, or may have been, accepted after the base revision.
std::optional<section_conflict> find_conflict(const configuration_record& record, const section_key& key,
                                              std::int64_t base_revision) {
    const auto stamp = record.stamps.find(key);
    if (stamp != record.stamps.end()) {
        if (stamp->second.revision <= base_revision) {
            return std::nullopt;
        }
        return section_conflict{key, stamp->second.author, stamp->second.revision};
    }
    // The section does not exist, so it has no stamp. Only the history shows whether it was removed after the
    // base revision.
    for (auto change = record.history.rbegin(); change != record.history.rend(); ++change) {
        if (change->revision <= base_revision) {
            return std::nullopt;
        }
        if (change->sections.contains(key)) {
            return section_conflict{key, change->author, change->revision};
        }
    }
    const std::int64_t oldest = record.history.empty() ? 1 : record.history.front().revision;
    if (oldest - 1 <= base_revision) {
        return std::nullopt;
    }
    return section_conflict{key, "", oldest};
}

change_refusal make_conflict_refusal(std::vector<section_conflict> conflicts) {
    change_refusal refusal{
        .kind = change_refusal_kind::conflict, .problems = {}, .conflicts = std::move(conflicts)};
    for (const section_conflict& conflict : refusal.conflicts) {
        refusal.problems.push_back(
            {to_string(conflict.section),
             conflict.author.empty()
                 ? absl::StrCat("may have been removed before revision ", conflict.revision,
                                ", which is the oldest one that the history covers")
                 : absl::StrCat("was changed by ", conflict.author, " at revision ", conflict.revision)});
    }
    return refusal;
}

configuration_record make_successor(const configuration_record& record, const configuration_change& change,
                                    const incarnation_id& writer) {
    configuration_record next = record;
    ++next.revision;
    next.writer = writer;
    for (const section_key& key : change.removed) {
        remove_section(next.configuration, key);
        next.stamps.erase(key);
    }
    set_sections(next.configuration, change.set);
    for (const section_key& key : section_keys(change.set)) {
        next.stamps[key] = {.revision = next.revision, .author = change.author};
    }
    next.history.push_back({.id = change.id,
                            .author = change.author,
                            .revision = next.revision,
                            .sections = touched_sections(change)});
    if (next.history.size() > maximum_history_changes) {
        next.history.erase(next.history.begin());
    }
    return next;
}

// Returns the validation problems of `next` that the configuration of `record` does not have.
configuration_problems find_new_problems(const configuration_record& record, const configuration_record& next,
                                         const configuration_usage& usage) {
    configuration_problems problems = validate(next.configuration, usage);
    if (problems.empty()) {
        return problems;
    }
    const configuration_problems present = validate(record.configuration, usage);
    std::erase_if(problems, [&](const configuration_problem& problem) {
        return std::find(present.begin(), present.end(), problem) != present.end();
    });
    return problems;
}

configuration_problems check_removed_exist(const configuration_record& record,
                                           const configuration_change& change) {
    configuration_problems problems;
    for (const section_key& key : change.removed) {
        if (!has_section(record.configuration, key)) {
            problems.push_back({to_string(key), "cannot be removed, as it does not exist"});
        }
    }
    return problems;
}

tl::expected<applied_change, change_refusal> make_repeated_result(const configuration_record& record,
                                                                  const accepted_change& accepted,
                                                                  const configuration_change& change) {
    if (accepted.author != change.author || accepted.sections != touched_sections(change)) {
        return make_refusal(
            change_refusal_kind::invalid,
            {{"change", absl::StrCat("the id was used by ", accepted.author,
                                     " for other sections at revision ", accepted.revision)}});
    }
    return applied_change{.revision = accepted.revision, .is_repeated = true, .record = record};
}

}  // namespace

tl::expected<applied_change, change_refusal> apply_change(const configuration_record& record,
                                                          const configuration_change& change,
                                                          const configuration_usage& usage,
                                                          const incarnation_id& writer) {
    if (auto problems = check_change_fields(change); !problems.empty()) {
        return make_refusal(change_refusal_kind::invalid, std::move(problems));
    }
    if (const accepted_change* accepted = find_accepted_change(record, change.id)) {
        return make_repeated_result(record, *accepted, change);
    }
    if (change.base_revision > record.revision) {
        return make_refusal(
            change_refusal_kind::stale_record,
            {{"base_revision", absl::StrCat("is ", change.base_revision,
                                            ", newer than the record's revision ", record.revision)}});
    }
    std::vector<section_conflict> conflicts;
    for (const section_key& key : touched_sections(change)) {
        if (auto conflict = find_conflict(record, key, change.base_revision)) {
            conflicts.push_back(*std::move(conflict));
        }
    }
    if (!conflicts.empty()) {
        return tl::unexpected(make_conflict_refusal(std::move(conflicts)));
    }
    configuration_record next = make_successor(record, change, writer);
    configuration_problems problems = check_removed_exist(record, change);
    const configuration_problems invalid = find_new_problems(record, next, usage);
    problems.insert(problems.end(), invalid.begin(), invalid.end());
    if (const std::size_t size = serialize(next).size(); size > maximum_record_bytes) {
        problems.push_back({"", absl::StrCat("the record would have ", size, " bytes; at most ",
                                             maximum_record_bytes, " are possible")});
    }
    if (!problems.empty()) {
        return make_refusal(change_refusal_kind::invalid, std::move(problems));
    }
    const std::int64_t revision = next.revision;
    return applied_change{.revision = revision, .is_repeated = false, .record = std::move(next)};
}

}  // namespace masticpass
