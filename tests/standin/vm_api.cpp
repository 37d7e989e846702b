#include "standin/vm_api.h"

#include <absl/strings/numbers.h>

#include "standin/background_http_server.h"
#include "store/etcd_messages.h"

namespace masticpass::standin {

namespace {

Json::Value error_body(const std::string& message) {
    Json::Value body;
    body["message"] = message;
    return body;
}

}  // namespace

Json::Value to_json(const listed_vm& vm) {
    Json::Value value;
    value["vm"] = vm.vm.value();
    value["zone"] = vm.zone.value();
    value["rack"] = vm.rack.value();
    value["address"] = vm.address;
    value["boot_id"] = vm.boot.value();
    value["pool"] = vm.pool.value();
    value["state"] = std::string(to_string(vm.state));
    return value;
}

tl::expected<listed_vm, std::string> parse_vm(const Json::Value& value) {
    listed_vm vm{.vm = vm_id(etcd::string_member(value, "vm")),
                 .zone = zone_name(etcd::string_member(value, "zone")),
                 .rack = rack_name(etcd::string_member(value, "rack")),
                 .address = etcd::string_member(value, "address"),
                 .boot = boot_id(etcd::string_member(value, "boot_id")),
                 .pool = pool_name(etcd::string_member(value, "pool"))};
    const std::string state = etcd::string_member(value, "state");
    if (vm.vm.empty() || vm.zone.empty()) {
        return tl::make_unexpected(std::string("a VM needs \"vm\" and \"zone\""));
    }
    if (!state.empty()) {
        const auto parsed = parse_vm_state(state);
        if (!parsed) {
            return tl::make_unexpected("unknown VM state " + state);
        }
        vm.state = *parsed;
    }
    return vm;
}

vm_api::vm_api(vm_fleet& fleet, platform_fault_settings& faults, platform_counters& counters)
    : fleet_(fleet), faults_(faults), counters_(counters) {}

void vm_api::add_routes(httplib::Server& server) {
    server.Get("/vms", [this](const httplib::Request& request, httplib::Response& response) {
        list(request, response);
    });
    server.Post(R"(/vms/([^/]+)/reboot)", [this](const httplib::Request& request,
                                                 httplib::Response& response) { reboot(request, response); });
    server.Post("/control/vm", [this](const httplib::Request& request, httplib::Response& response) {
        set_vm(request, response);
    });
}

void vm_api::list(const httplib::Request& request, httplib::Response& response) {
    counters_.add_call("vm_list", request.path.size());
    const platform_faults faults = faults_.current();
    if (faults.control_down) {
        respond_json(response, 503, error_body("VM list and VM control are down"));
        return;
    }
    const vm_listing listing = fleet_.list(zone_name(request.get_param_value("zone")), faults.vm_list_lag);
    std::int64_t known_index = 0;
    if (request.has_param("index") && absl::SimpleAtoi(request.get_param_value("index"), &known_index) &&
        known_index == listing.index) {
        response.status = 304;
        return;
    }
    Json::Value body;
    body["index"] = static_cast<Json::Int64>(listing.index);
    body["vms"] = Json::Value(Json::arrayValue);
    for (const listed_vm& vm : listing.vms) {
        body["vms"].append(to_json(vm));
    }
    respond_json(response, 200, body);
    counters_.add_bytes_sent("vm_list", response.body.size());
}

void vm_api::reboot(const httplib::Request& request, httplib::Response& response) {
    counters_.add_call("reboot", request.body.size());
    if (faults_.current().control_down) {
        respond_json(response, 503, error_body("VM list and VM control are down"));
        return;
    }
    const auto message = etcd::parse_object(request.body);
    if (!message) {
        respond_json(response, 400, error_body(message.error()));
        return;
    }
    const auto result =
        fleet_.reboot({.vm = vm_id(request.matches[1]),
                       .operation = operation_id(etcd::string_member(*message, "operation_id")),
                       .expected_boot = boot_id(etcd::string_member(*message, "expected_boot_id")),
                       .pool = pool_name(etcd::string_member(*message, "pool"))});
    if (result) {
        respond_json(response, 200, Json::Value(Json::objectValue));
    } else if (result.error().kind == reboot_error_kind::boot_changed) {
        Json::Value body = error_body(result.error().message);
        body["boot_id"] = result.error().current_boot.value();
        respond_json(response, 409, body);
    } else {
        respond_json(response, 404, error_body(result.error().message));
    }
    if (faults_.consume_lost_reboot_response()) {
        lose_response(response);
    }
}

void vm_api::set_vm(const httplib::Request& request, httplib::Response& response) {
    const auto message = etcd::parse_object(request.body);
    const vm_id vm(message ? etcd::string_member(*message, "vm") : "");
    const auto state = parse_vm_state(message ? etcd::string_member(*message, "state") : "");
    const bool is_crash = message && etcd::is_member_true(*message, "crash");
    if (!state && !is_crash) {
        respond_json(response, 400, error_body("the body needs \"vm\" and either \"state\" or \"crash\""));
        return;
    }
    const bool is_known = is_crash ? fleet_.crash(vm) : fleet_.set_state(vm, *state);
    respond_json(response, is_known ? 200 : 404, error_body(is_known ? "VM changed" : "unknown VM"));
}

}  // namespace masticpass::standin
