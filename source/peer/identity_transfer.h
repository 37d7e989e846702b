#ifndef MASTICPASS_PEER_IDENTITY_TRANSFER_H
#define MASTICPASS_PEER_IDENTITY_TRANSFER_H

#include <optional>
#include <vector>

#include <json/json.h>

#include "decision/serving/identity_registry.h"

namespace masticpass {

// Writes the states in base64 and the ages in milliseconds.
Json::Value to_json(const std::vector<identity_transfer>& transfers);

// Returns nullopt if a member is missing or malformed.
std::optional<std::vector<identity_transfer>> parse_transfers(const Json::Value& value);

}  // namespace masticpass

#endif
