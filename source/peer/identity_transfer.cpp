#include "peer/identity_transfer.h"

#include <string>
#include <utility>

#include <absl/strings/escaping.h>

namespace masticpass {

namespace {

Json::Value to_json(const identity_transfer::part& part) {
    Json::Value value;
    value["first"] = Json::UInt64{part.first};
    value["count"] = Json::UInt64{part.count};
    value["age_ms"] = Json::Int64{absl::ToInt64Milliseconds(part.age)};
    value["states"] = absl::Base64Escape(std::string(part.states.begin(), part.states.end()));
    return value;
}

std::optional<identity_transfer::part> parse_part(const Json::Value& value) {
    std::string states;
    const bool valid = value.isObject() && value["first"].isUInt64() && value["count"].isUInt64() &&
                       value["age_ms"].isInt64() && value["states"].isString() &&
                       absl::Base64Unescape(value["states"].asString(), &states);
    if (!valid) {
        return std::nullopt;
    }
    return identity_transfer::part{.first = value["first"].asUInt64(),
                                   .count = value["count"].asUInt64(),
                                   .age = absl::Milliseconds(value["age_ms"].asInt64()),
                                   .states = {states.begin(), states.end()}};
}

std::optional<identity_transfer> parse_transfer(const Json::Value& value) {
    if (!value.isObject() || !value["issuer"].isString() || !value["next"].isUInt64() ||
        !value["parts"].isArray()) {
        return std::nullopt;
    }
    identity_transfer transfer;
    transfer.issuer = incarnation_id(value["issuer"].asString());
    transfer.next_sequence = value["next"].asUInt64();
    for (const Json::Value& element : value["parts"]) {
        auto part = parse_part(element);
        if (!part) {
            return std::nullopt;
        }
        transfer.parts.push_back(std::move(*part));
    }
    return transfer;
}

}  // namespace

Json::Value to_json(const std::vector<identity_transfer>& transfers) {
    Json::Value list(Json::arrayValue);
    for (const identity_transfer& transfer : transfers) {
        Json::Value value;
        value["issuer"] = transfer.issuer.value();
        value["next"] = Json::UInt64{transfer.next_sequence};
        value["parts"] = Json::arrayValue;
        for (const identity_transfer::part& part : transfer.parts) {
            value["parts"].append(to_json(part));
        }
        list.append(value);
    }
    return list;
}

std::optional<std::vector<identity_transfer>> parse_transfers(const Json::Value& value) {
    if (!value.isArray()) {
        return std::nullopt;
    }
    std::vector<identity_transfer> transfers;
    for (const Json::Value& element : value) {
        auto transfer = parse_transfer(element);
        if (!transfer) {
            return std::nullopt;
        }
        transfers.push_back(std::move(*transfer));
    }
    return transfers;
}

}  // namespace masticpass
