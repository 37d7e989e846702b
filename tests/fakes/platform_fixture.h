#ifndef MASTICPASS_FAKES_PLATFORM_FIXTURE_H
#define MASTICPASS_FAKES_PLATFORM_FIXTURE_H

#include <memory>

#include <doctest/doctest.h>

#include "http/http_connection_limits.h"
#include "standin/platform_server.h"
#include "store/etcd_messages.h"

namespace masticpass {

// Runs the stand-in of the platform in the process of the test.
struct platform_fixture {
    static constexpr http_connection_limits short_limits = {.connect_timeout = absl::Milliseconds(500),
                                                            .call_timeout = absl::Milliseconds(300)};

    platform_fixture() {
        auto created = standin::platform_server::create(
            {.vms = {make_vm("v1", "z1"), make_vm("v2", "z2")}, .reboot_time = absl::Milliseconds(20)});
        REQUIRE(created.has_value());
        server = *std::move(created);
    }

    static listed_vm make_vm(const char* vm, const char* zone) {
        return {.vm = vm_id(vm),
                .zone = zone_name(zone),
                .rack = rack_name("r1"),
                .address = "127.0.0.1:1",
                .boot = boot_id(),
                .pool = pool_name("p")};
    }

    void set_faults(const char* json) const {
        const auto changed = server->change_faults(*etcd::parse_object(json));
        REQUIRE(changed.has_value());
    }

    std::unique_ptr<standin::platform_server> server;
};

}  // namespace masticpass

#endif
