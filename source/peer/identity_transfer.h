#ifndef MASTICPASS_PEER_IDENTITY_TRANSFER_H
#define MASTICPASS_PEER_IDENTITY_TRANSFER_H

#include <optional>
#include <vector>

#include <json/json.h>

#include "decision/serving/identity_registry.h"

namespace masticpass {

// The states are written in base64, ages in milliseconds.
Json::Value to_json(const std::vector<identity_transfer>& transfers);

// nullopt if a member is missing or has another form.
std::optional<std::vector<identity_transfer>> parse_transfers(const Json::Value& value);

}  // namespace masticpass

#endif
