#ifndef MASTICPASS_PEER_RECORD_H
#define MASTICPASS_PEER_RECORD_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

namespace masticpass {

// A record of the store, as sent from one entry VM to another.
struct record {
    std::string key;
    std::string value;
    // The store's modification revision of the key.
    std::uint64_t revision = 0;
};

Json::Value to_json(const std::vector<record>& records);

// Returns nullopt if an element is malformed.
std::optional<std::vector<record>> parse_records(const Json::Value& value);

}  // namespace masticpass

#endif
