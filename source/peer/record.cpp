#include "peer/record.h"

namespace masticpass {

Json::Value to_json(const std::vector<record>& records) {
    Json::Value list(Json::arrayValue);
    for (const record& entry : records) {
        Json::Value element;
        element["key"] = entry.key;
        element["value"] = entry.value;
        element["revision"] = Json::UInt64{entry.revision};
        list.append(element);
    }
    return list;
}

std::optional<std::vector<record>> parse_records(const Json::Value& value) {
    if (!value.isArray()) {
        return std::nullopt;
    }
    std::vector<record> records;
    for (const Json::Value& element : value) {
        if (!element.isObject() || !element["key"].isString() || !element["value"].isString() ||
            !element["revision"].isUInt64()) {
            return std::nullopt;
        }
        records.push_back(
            {element["key"].asString(), element["value"].asString(), element["revision"].asUInt64()});
    }
    return records;
}

}  // namespace masticpass
