#include "vm/http_vm_list.h"

#include <utility>

#include <absl/strings/str_cat.h>

#include "http/url_escape.h"
#include "store/etcd_messages.h"

namespace masticpass {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_modified = 304;

tl::expected<listed_vm, vm_list_error> parse_vm(const Json::Value& value) {
    const std::string vm = etcd::string_member(value, "vm");
    const std::string state_name = etcd::string_member(value, "state");
    const auto state = parse_vm_state(state_name);
    if (vm.empty() || !state) {
        return tl::make_unexpected(
            vm_list_error{absl::StrCat("malformed VM \"", vm, "\" with state \"", state_name, "\"")});
    }
    return listed_vm{.vm = vm_id(vm),
                     .zone = zone_name(etcd::string_member(value, "zone")),
                     .rack = rack_name(etcd::string_member(value, "rack")),
                     .address = etcd::string_member(value, "address"),
                     .boot = boot_id(etcd::string_member(value, "boot_id")),
                     .pool = pool_name(etcd::string_member(value, "pool")),
                     .state = *state};
}

// Returns the name of the first required member that is missing; empty if there is none. A pool record
// without a zone or rack cannot be parsed, and budgets, probes and reboots need the other members.
std::string missing_member(const listed_vm& vm) {
    if (vm.zone.empty()) {
        return "zone";
    }
    if (vm.rack.empty()) {
        return "rack";
    }
    if (vm.address.empty()) {
        return "address";
    }
    return vm.boot.empty() ? "boot_id" : "";
}

void add_vm(listed_vm vm, vm_listing& listing) {
    std::string missing = missing_member(vm);
    if (missing.empty()) {
        listing.vms.push_back(std::move(vm));
        return;
    }
    if (vm.state != vm_state::terminated) {
        listing.skipped.push_back({vm.vm, std::move(missing)});
        return;
    }
    // A termination is final and must be reported. A VM without a role is not added to any pool record.
    vm.pool = pool_name();
    listing.vms.push_back(std::move(vm));
}

tl::expected<vm_listing, vm_list_error> parse_listing(std::string_view body) {
    const auto message = etcd::parse_object(body);
    if (!message || !etcd::nested_member(*message, "vms").isArray()) {
        return tl::make_unexpected(vm_list_error{"malformed VM list"});
    }
    vm_listing listing;
    listing.index = etcd::integer_member(*message, "index");
    for (const Json::Value& value : (*message)["vms"]) {
        auto vm = parse_vm(value);
        if (!vm) {
            return tl::make_unexpected(vm.error());
        }
        add_vm(*std::move(vm), listing);
    }
    return listing;
}

}  // namespace

http_vm_list::http_vm_list(std::string address, const http_connection_limits& limits)
    : client_(std::move(address), limits) {}

tl::expected<std::optional<vm_listing>, vm_list_error> http_vm_list::list(
    const zone_name& zone, std::optional<std::int64_t> known_index) {
    std::string path = absl::StrCat("/vms?zone=", url_escape(zone.value()));
    if (known_index) {
        absl::StrAppend(&path, "&index=", *known_index);
    }
    const auto response = client_.get(path);
    if (!response) {
        return tl::make_unexpected(vm_list_error{response.error().message});
    }
    if (response->status == status_not_modified) {
        return std::nullopt;
    }
    if (response->status != status_ok) {
        return tl::make_unexpected(vm_list_error{absl::StrCat("HTTP status ", response->status)});
    }
    auto listing = parse_listing(response->body);
    if (!listing) {
        return tl::make_unexpected(listing.error());
    }
    return *std::move(listing);
}

}  // namespace masticpass
