#include "standin/platform_server.h"

#include <chrono>
#include <utility>

#include "common/clock.h"
#include "store/etcd_messages.h"

namespace masticpass::standin {

namespace {

constexpr absl::Duration lease_check_interval = absl::Milliseconds(50);
// Longer than any request that a backend server completes before it restarts.
constexpr std::chrono::seconds backend_reboot_timeout = std::chrono::seconds(120);

void notify_backend(const listed_vm& vm, const boot_id& next_boot, const pool_name& pool, bool graceful) {
    httplib::Client client("http://" + vm.address);
    client.set_connection_timeout(std::chrono::seconds(1));
    client.set_read_timeout(backend_reboot_timeout);
    client.set_tcp_nodelay(true);
    Json::Value body;
    body["boot_id"] = next_boot.value();
    body["pool"] = pool.value();
    body["graceful"] = graceful;
    // The result is ignored, because a backend server that does not respond counts as rebooted.
    client.Post("/control/reboot", etcd::to_text(body), "application/json");
}

}  // namespace

platform_server::platform_server(const platform_options& options)
    : fleet_(options.vms, options.reboot_time,
             options.notify_backends ? reboot_notifier(&notify_backend) : reboot_notifier()),
      store_api_(store_, faults_, counters_),
      vm_api_(fleet_, faults_, counters_),
      http_server_(options.maximum_connections) {}

tl::expected<std::unique_ptr<platform_server>, std::string> platform_server::create(
    const platform_options& options) {
    std::unique_ptr<platform_server> server(new platform_server(options));
    server->store_api_.add_routes(server->http_server_.server());
    server->vm_api_.add_routes(server->http_server_.server());
    server->add_control_routes(server->http_server_.server());
    auto address = server->http_server_.start(options.listen_address);
    if (!address) {
        return tl::make_unexpected(address.error());
    }
    server->address_ = *std::move(address);
    server->lease_thread_ = std::thread([platform = server.get()] { platform->expire_leases(); });
    return server;
}

platform_server::~platform_server() {
    store_api_.stop();
    stopping_.Notify();
    if (lease_thread_.joinable()) {
        lease_thread_.join();
    }
}

void platform_server::expire_leases() {
    while (!stopping_.WaitForNotificationWithTimeout(lease_check_interval)) {
        // Like etcd without a leader, the store expires no leases while it is down.
        if (!faults_.current().store_down) {
            store_.expire_leases(monotonic_clock().now());
        }
    }
}

tl::expected<void, std::string> platform_server::change_faults(Json::Value members) {
    Json::Value compact;
    members.removeMember("compact", &compact);
    const auto faults = faults_.change(members);
    if (!faults) {
        return tl::make_unexpected(faults.error());
    }
    if (members.isMember("old_data")) {
        store_.set_old_data(faults->old_data);
    }
    if (compact.isBool() && compact.asBool()) {
        store_.compact();
    }
    store_.wake();
    return {};
}

void platform_server::add_control_routes(httplib::Server& server) {
    server.Post("/control/faults", [this](const httplib::Request& request, httplib::Response& response) {
        auto members = etcd::parse_object(request.body);
        const auto result = members ? change_faults(*std::move(members))
                                    : tl::expected<void, std::string>(tl::make_unexpected(members.error()));
        Json::Value body(Json::objectValue);
        if (!result) {
            body["message"] = result.error();
        }
        respond_json(response, result ? 200 : 400, body);
    });
    server.Get("/control/counters", [this](const httplib::Request&, httplib::Response& response) {
        respond_json(response, 200, counters_.to_json());
    });
}

}  // namespace masticpass::standin
