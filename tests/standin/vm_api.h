#ifndef MASTICPASS_STANDIN_VM_API_H
#define MASTICPASS_STANDIN_VM_API_H

#include <httplib.h>
#include <json/json.h>

#include "standin/platform_faults.h"
#include "standin/vm_fleet.h"

namespace masticpass::standin {

// Serves the VM list, VM control and `POST /control/vm`, subject to the injected faults. The arguments of the
// constructor must outlive the object, which must outlive the server.
class vm_api {
public:
    vm_api(vm_fleet& fleet, platform_fault_settings& faults, platform_counters& counters);

    void add_routes(httplib::Server& server);

private:
    void list(const httplib::Request& request, httplib::Response& response);
    void reboot(const httplib::Request& request, httplib::Response& response);
    // Handles `POST /control/vm`. The body is {vm, state} with a state of the VM list, or {vm, crash: true}.
    void set_vm(const httplib::Request& request, httplib::Response& response);

    vm_fleet& fleet_;
    platform_fault_settings& faults_;
    platform_counters& counters_;
};

Json::Value to_json(const listed_vm& vm);
// Parses a VM of the list. A VM without a state is live.
tl::expected<listed_vm, std::string> parse_vm(const Json::Value& value);

}  // namespace masticpass::standin

#endif
