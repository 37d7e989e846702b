#ifndef MASTICPASS_STORE_ETCD_MESSAGES_H
#define MASTICPASS_STORE_ETCD_MESSAGES_H

#include <cstdint>
#include <string>
#include <string_view>

#include <json/json.h>
#include <tl/expected.hpp>

#include "store/configuration_store.h"

// Messages of the etcd v3 JSON gateway. Keys and values are encoded in base64, 64-bit integers are strings,
// and members with a default value are omitted.
namespace masticpass::etcd {

// Returns the end of the key range that contains all keys with the prefix.
std::string prefix_end(std::string_view prefix);

std::string range_request(std::string_view key, std::string_view range_end);
std::string put_request(std::string_view key, store_revision expected_revision, std::string_view value,
                        lease_id lease);
std::string remove_request(std::string_view key, store_revision expected_revision);
std::string watch_request(std::string_view key, std::string_view range_end, store_revision start_revision);
std::string lease_grant_request(std::int64_t seconds);
std::string lease_keepalive_request(lease_id lease);

// Serializes a message as compact JSON.
std::string to_text(const Json::Value& message);

// Parses a JSON object. The error describes what is wrong with the text.
tl::expected<Json::Value, std::string> parse_object(std::string_view text);

// Returns a 64-bit integer member, which may be a string or a number; 0 if it is missing or malformed.
std::int64_t integer_member(const Json::Value& message, const char* name);
// Returns a string member; an empty string if it is missing or has another type.
std::string string_member(const Json::Value& message, const char* name);
// Returns whether a member is the boolean value true.
bool is_member_true(const Json::Value& message, const char* name);
// Returns a member; null if it is missing or `message` is not an object.
const Json::Value& nested_member(const Json::Value& message, const char* name);
// Returns a decoded base64 member; an empty string if it is missing or malformed.
std::string bytes_member(const Json::Value& message, const char* name);

// Returns the store revision in the header of a response; 0 if it is missing.
store_revision header_revision(const Json::Value& response);
store_entry parse_entry(const Json::Value& key_value);

// Adds the changes of one message of a watch stream to `result`. Returns false if the message has none.
bool add_watch_message(const Json::Value& message, watch_result& result);

}  // namespace masticpass::etcd

#endif
