#include "decision/configuration/configuration_change.h"

#include <utility>

#include "decision/configuration/json_object_reader.h"
#include "decision/configuration/section_json.h"

namespace masticpass {

std::set<section_key> touched_sections(const configuration_change& change) {
    std::set<section_key> keys = section_keys(change.set);
    keys.insert(change.removed.begin(), change.removed.end());
    return keys;
}

Json::Value to_json(const configuration_change& change) {
    Json::Value object(Json::objectValue);
    object["change"] = change.id.value();
    object["author"] = change.author;
    object["base_revision"] = static_cast<Json::Int64>(change.base_revision);
    object["set"] = sections_to_json(change.set);
    Json::Value removed(Json::arrayValue);
    for (const section_key& key : change.removed) {
        removed.append(to_string(key));
    }
    object["remove"] = std::move(removed);
    return object;
}

tl::expected<configuration_change, configuration_problems> configuration_change_from_json(
    const Json::Value& value) {
    configuration_problems problems;
    configuration_change change;
    json_object_reader reader(value, "", problems);
    for (const char* name : {"change", "author", "base_revision"}) {
        reader.require(name);
    }
    assign_if(change.id, reader.text("change"));
    assign_if(change.author, reader.text("author"));
    assign_if(change.base_revision, reader.large_integer("base_revision"));
    if (const Json::Value* set = reader.find("set")) {
        change.set = sections_from_json(*set, "set", problems);
    }
    for (const std::string& text : reader.texts("remove").value_or(std::vector<std::string>())) {
        if (const auto key = parse_section_key(text)) {
            change.removed.insert(*key);
        } else {
            reader.report("remove", "names the unknown section '" + text + "'");
        }
    }
    reader.report_unknown_members();
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return change;
}

}  // namespace masticpass
