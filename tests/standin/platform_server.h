#ifndef MASTICPASS_STANDIN_PLATFORM_SERVER_H
#define MASTICPASS_STANDIN_PLATFORM_SERVER_H

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <json/json.h>
#include <tl/expected.hpp>

#include "standin/background_http_server.h"
#include "standin/platform_faults.h"
#include "standin/store_api.h"
#include "standin/store_state.h"
#include "standin/vm_api.h"
#include "standin/vm_fleet.h"

namespace masticpass::standin {

struct platform_options {
    // Port 0 selects a free port.
    std::string listen_address = "127.0.0.1:0";
    std::vector<listed_vm> vms = {};
    absl::Duration reboot_time = absl::Milliseconds(50);
    // Whether the backend server at the address of a VM is notified when the VM reboots.
    bool notify_backends = false;
    std::size_t maximum_connections = 32;
};

// Stand-in for the platform. Serves the store, the VM list, VM control, and an API through which tests inject
// faults.
class platform_server {
public:
    static tl::expected<std::unique_ptr<platform_server>, std::string> create(
        const platform_options& options);
    ~platform_server();
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;

    const std::string& address() const { return address_; }
    store_state& store() { return store_; }
    vm_fleet& fleet() { return fleet_; }
    const platform_counters& counters() const { return counters_; }

    // Changes the injected faults that `members` names, as `POST /control/faults` does. The member `compact`,
    // if true, discards the change history of the store. Returns a description of the error if a member is
    // invalid.
    tl::expected<void, std::string> change_faults(Json::Value members);

private:
    explicit platform_server(const platform_options& options);

    void add_control_routes(httplib::Server& server);
    void expire_leases();

    platform_fault_settings faults_;
    platform_counters counters_;
    store_state store_;
    vm_fleet fleet_;
    store_api store_api_;
    vm_api vm_api_;
    std::string address_;
    absl::Notification stopping_;
    std::thread lease_thread_;
    // Declared last, so that it is destroyed first and no handler uses a destroyed member.
    background_http_server http_server_;
};

}  // namespace masticpass::standin

#endif
