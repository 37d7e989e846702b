#include "agent/allotment_json.h"

#include <memory>

#include <json/json.h>

namespace masticpass {

namespace {

std::optional<allotment_member> parse_member(const Json::Value& value) {
    if (!value.isObject() || !value["entry"].isString() || !value["incarnation"].isString() ||
        !value["joined"].isUInt64() || !value["address"].isString()) {
        return std::nullopt;
    }
    return allotment_member{entry_id(value["entry"].asString()),
                            incarnation_id(value["incarnation"].asString()), value["joined"].asUInt64(),
                            value["address"].asString()};
}

}  // namespace

std::string serialize(const allotment_record& record) {
    Json::Value value;
    value["epoch"] = Json::UInt64{record.epoch};
    value["members"] = Json::arrayValue;
    for (const allotment_member& member : record.members) {
        Json::Value element;
        element["entry"] = member.entry.value();
        element["incarnation"] = member.incarnation.value();
        element["joined"] = Json::UInt64{member.joined_epoch};
        element["address"] = member.address;
        value["members"].append(element);
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

std::optional<allotment_record> parse_allotment_record(const std::string& text) {
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    const bool parsed = reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    if (!parsed || !value.isObject() || !value["epoch"].isUInt64() || !value["members"].isArray() ||
        value["members"].size() > maximum_entries_per_zone) {
        return std::nullopt;
    }
    allotment_record record;
    record.epoch = value["epoch"].asUInt64();
    for (const Json::Value& element : value["members"]) {
        const auto member = parse_member(element);
        if (!member) {
            return std::nullopt;
        }
        record.members.push_back(*member);
    }
    return record;
}

}  // namespace masticpass
