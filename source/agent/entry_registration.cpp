#include "agent/entry_registration.h"

#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <json/json.h>

#include "http/text_view.h"
#include "store/etcd_messages.h"

namespace masticpass {

std::string registration_key(const entry_registration& registration) {
    return absl::StrCat(to_absl(entry_registration_prefix), registration.zone.value(), "/",
                        registration.entry.value());
}

std::string registration_value(const entry_registration& registration) {
    Json::Value value;
    value["address"] = registration.address;
    value["incarnation"] = registration.incarnation.value();
    return etcd::to_text(value);
}

tl::expected<entry_registration, std::string> parse_registration(std::string_view key,
                                                                 std::string_view value) {
    const std::vector<std::string> parts = absl::StrSplit(to_absl(key), '/');
    constexpr std::size_t part_count = 3;
    if (parts.size() != part_count || parts[0] + "/" != entry_registration_prefix) {
        return tl::make_unexpected("not a registration key: " + std::string(key));
    }
    const auto members = etcd::parse_object(value);
    if (!members) {
        return tl::make_unexpected(members.error());
    }
    entry_registration registration{
        .entry = entry_id(parts[2]),
        .zone = zone_name(parts[1]),
        .incarnation = incarnation_id(etcd::string_member(*members, "incarnation")),
        .address = etcd::string_member(*members, "address")};
    if (registration.incarnation.empty() || registration.address.empty()) {
        return tl::make_unexpected("the registration has no incarnation or no address: " + std::string(key));
    }
    return registration;
}

}  // namespace masticpass
