#include "decision/configuration/configuration_record.h"

#include <algorithm>
#include <utility>

#include "decision/configuration/json_object_reader.h"
#include "decision/configuration/section_json.h"

namespace masticpass {

namespace {

Json::Value to_json(const accepted_change& change) {
    Json::Value object(Json::objectValue);
    object["change"] = change.id.value();
    object["author"] = change.author;
    object["revision"] = static_cast<Json::Int64>(change.revision);
    Json::Value sections(Json::arrayValue);
    for (const section_key& key : change.sections) {
        sections.append(to_string(key));
    }
    object["sections"] = std::move(sections);
    return object;
}

Json::Value to_json(const section_stamp& stamp) {
    Json::Value object(Json::objectValue);
    object["revision"] = static_cast<Json::Int64>(stamp.revision);
    object["author"] = stamp.author;
    return object;
}

accepted_change read_change(json_object_reader reader) {
    accepted_change change;
    for (const char* name : {"change", "author", "revision", "sections"}) {
        reader.require(name);
    }
    assign_if(change.id, reader.text("change"));
    assign_if(change.author, reader.text("author"));
    assign_if(change.revision, reader.large_integer("revision"));
    for (const std::string& text : reader.texts("sections").value_or(std::vector<std::string>())) {
        if (const auto key = parse_section_key(text)) {
            change.sections.insert(*key);
        } else {
            reader.report("sections", "names the unknown section '" + text + "'");
        }
    }
    reader.report_unknown_members();
    return change;
}

void read_history(const Json::Value& array, configuration_record& record, configuration_problems& problems) {
    if (!array.isArray()) {
        problems.push_back({"history", "expected a list"});
        return;
    }
    for (const Json::Value& element : array) {
        record.history.push_back(
            read_change({element, "history[" + std::to_string(record.history.size()) + "]", problems}));
    }
}

void read_stamps(const Json::Value& object, configuration_record& record, configuration_problems& problems) {
    if (!object.isObject()) {
        problems.push_back({"stamps", "expected an object"});
        return;
    }
    for (const std::string& name : object.getMemberNames()) {
        json_object_reader reader(object[name], "stamps." + name, problems);
        const auto key = parse_section_key(name);
        if (!key) {
            problems.push_back({"stamps." + name, "names an unknown section"});
            continue;
        }
        section_stamp stamp;
        reader.require("revision");
        assign_if(stamp.revision, reader.large_integer("revision"));
        reader.require("author");
        assign_if(stamp.author, reader.text("author"));
        reader.report_unknown_members();
        record.stamps.emplace(*key, std::move(stamp));
    }
}

// Returns whether the history has consecutive revisions, ends with the revision of the record and is as long
// as the revision and maximum_history_changes allow.
bool is_history_complete(const configuration_record& record) {
    const auto expected =
        std::min<std::int64_t>(record.revision, static_cast<std::int64_t>(maximum_history_changes));
    if (record.revision < 0 || static_cast<std::int64_t>(record.history.size()) != expected) {
        return false;
    }
    std::int64_t revision = record.revision - expected;
    return std::all_of(record.history.begin(), record.history.end(),
                       [&](const accepted_change& change) { return change.revision == ++revision; });
}

void check_consistency(const configuration_record& record, configuration_problems& problems) {
    if (!is_history_complete(record)) {
        problems.push_back({"history", "expected the newest changes up to the record's revision"});
    }
    const std::set<section_key> sections = section_keys(record.configuration);
    const bool has_matching_stamps =
        sections.size() == record.stamps.size() &&
        std::all_of(record.stamps.begin(), record.stamps.end(), [&](const auto& stamp) {
            return sections.contains(stamp.first) && stamp.second.revision >= 1 &&
                   stamp.second.revision <= record.revision;
        });
    if (!has_matching_stamps) {
        problems.push_back({"stamps", "expected one for each section, with a revision up to the record's"});
    }
}

}  // namespace

std::string serialize(const configuration_record& record) {
    Json::Value object(Json::objectValue);
    object["revision"] = static_cast<Json::Int64>(record.revision);
    object["writer"] = record.writer.value();
    object["sections"] = sections_to_json(record.configuration);
    Json::Value stamps(Json::objectValue);
    for (const auto& [key, stamp] : record.stamps) {
        stamps[to_string(key)] = to_json(stamp);
    }
    object["stamps"] = std::move(stamps);
    Json::Value history(Json::arrayValue);
    for (const accepted_change& change : record.history) {
        history.append(to_json(change));
    }
    object["history"] = std::move(history);
    return write_json(object);
}

tl::expected<configuration_record, configuration_problems> parse_configuration_record(std::string_view text) {
    const auto value = parse_json(text);
    if (!value) {
        return tl::unexpected(configuration_problems{{"", value.error()}});
    }
    configuration_problems problems;
    configuration_record record;
    json_object_reader reader(*value, "", problems);
    reader.require("revision");
    assign_if(record.revision, reader.large_integer("revision"));
    reader.require("writer");
    assign_if(record.writer, reader.text("writer"));
    if (const Json::Value* sections = reader.require("sections")) {
        record.configuration = sections_from_json(*sections, "sections", problems);
    }
    if (const Json::Value* stamps = reader.require("stamps")) {
        read_stamps(*stamps, record, problems);
    }
    if (const Json::Value* history = reader.require("history")) {
        read_history(*history, record, problems);
    }
    reader.report_unknown_members();
    if (problems.empty()) {
        check_consistency(record, problems);
    }
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return record;
}

change_outcome outcome_of_write(const configuration_record& read, const configuration_record& written) {
    if (read.revision < written.revision) {
        return change_outcome::unknown;
    }
    const auto found =
        std::find_if(read.history.begin(), read.history.end(),
                     [&](const accepted_change& change) { return change.revision == written.revision; });
    if (found == read.history.end()) {
        return change_outcome::unknown;
    }
    return found->id == written.history.back().id ? change_outcome::applied : change_outcome::not_applied;
}

}  // namespace masticpass
