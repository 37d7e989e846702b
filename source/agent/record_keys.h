#ifndef MASTICPASS_AGENT_RECORD_KEYS_H
#define MASTICPASS_AGENT_RECORD_KEYS_H

#include <optional>
#include <string>
#include <string_view>

#include "common/identifier.h"

namespace masticpass {

// Keys of the records in the store, without the namespace prefix.
inline constexpr std::string_view store_namespace = "masticpass/";
inline constexpr std::string_view configuration_key = "config";
inline constexpr std::string_view pool_key_prefix = "pools/";
inline constexpr std::string_view zone_key_prefix = "zones/";
inline constexpr std::string_view allotment_key_suffix = "/allotment";

inline std::string pool_key(const pool_name& pool) {
    return std::string(pool_key_prefix) + pool.value();
}

inline std::string allotment_key(const zone_name& zone) {
    return std::string(zone_key_prefix) + zone.value() + std::string(allotment_key_suffix);
}

// Returns the zone if the key is that of an allotment record; nullopt for any other key.
inline std::optional<zone_name> zone_of_allotment_key(std::string_view key) {
    if (!key.starts_with(zone_key_prefix) || !key.ends_with(allotment_key_suffix) ||
        key.size() <= zone_key_prefix.size() + allotment_key_suffix.size()) {
        return std::nullopt;
    }
    key.remove_prefix(zone_key_prefix.size());
    key.remove_suffix(allotment_key_suffix.size());
    return zone_name(std::string(key));
}

}  // namespace masticpass

#endif
