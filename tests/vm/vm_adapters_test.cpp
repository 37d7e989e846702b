#include <doctest/doctest.h>

#include "decision/maintenance/pool_record.h"
#include "fakes/platform_fixture.h"
#include "fakes/raw_server.h"
#include "fakes/wait_until.h"
#include "vm/http_vm_control.h"
#include "vm/http_vm_list.h"

namespace masticpass {

namespace {

struct vm_fixture : platform_fixture {
    http_vm_list vms{server->address(), short_limits};
    http_vm_control control{server->address(), short_limits};

    listed_vm first_vm() {
        const auto listing = vms.list(zone_name("z1"), std::nullopt);
        REQUIRE(listing.has_value());
        REQUIRE(listing->has_value());
        return (*listing)->vms.at(0);
    }
    reboot_request request(const boot_id& boot) const {
        return {
            .vm = vm_id("v1"), .operation = operation_id("o"), .expected_boot = boot, .pool = pool_name("q")};
    }
};

}  // namespace

// Guards against a list that contains VMs of other zones, or that is transferred again without a change.
TEST_CASE_FIXTURE(vm_fixture, "the VM list is read by zone, and only if it has changed") {
    const auto all = vms.list(zone_name(), std::nullopt);
    REQUIRE(all->value().vms.size() == 2);
    const auto listing = vms.list(zone_name("z2"), std::nullopt);
    REQUIRE(listing->value().vms.size() == 1);
    const listed_vm& vm = listing->value().vms[0];
    CHECK(vm.vm == vm_id("v2"));
    CHECK(vm.rack == rack_name("r1"));
    CHECK(vm.pool == pool_name("p"));
    CHECK(vm.state == vm_state::live);
    CHECK_FALSE(vm.boot.empty());
    CHECK_FALSE(vms.list(zone_name("z2"), (*listing)->index)->has_value());
    server->fleet().set_state(vm_id("v2"), vm_state::terminated);
    CHECK(vms.list(zone_name("z2"), (*listing)->index)->value().vms[0].state == vm_state::terminated);
    set_faults(R"({"control_down": true})");
    CHECK_FALSE(vms.list(zone_name("z2"), std::nullopt).has_value());
}

// Guards against a VM without a rack or zone, whose pool record could not be parsed, and against losing a
// termination, which is final.
TEST_CASE("a VM without a member that pool records require is skipped with the reason") {
    std::string members = R"("zone":"z1","rack":"r1","address":"127.0.0.1:1","boot_id":"b1")";
    const fakes::raw_server platform([&members](fakes::raw_connection& connection, const std::string&) {
        const std::string body = R"({"index":"5","vms":[{"vm":"v1","pool":"p","state":"live",)" + members +
                                 R"(},{"vm":"v2","pool":"p","state":"terminated"}]})";
        connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    http_vm_list list(platform.address());
    std::string missing;
    SUBCASE("complete") {}
    SUBCASE("no zone") {
        missing = "zone";
        members = R"("rack":"r1","address":"127.0.0.1:1","boot_id":"b1")";
    }
    SUBCASE("empty rack") {
        missing = "rack";
        members = R"("zone":"z1","rack":"","address":"127.0.0.1:1","boot_id":"b1")";
    }
    SUBCASE("no address") {
        missing = "address";
        members = R"("zone":"z1","rack":"r1","boot_id":"b1")";
    }
    SUBCASE("no boot identity") {
        missing = "boot_id";
        members = R"("zone":"z1","rack":"r1","address":"127.0.0.1:1")";
    }
    const auto response = list.list(zone_name(), std::nullopt);
    REQUIRE(response.has_value());
    const vm_listing& listing = response->value();
    REQUIRE(listing.vms.size() == (missing.empty() ? 2 : 1));
    CHECK(listing.vms.back().vm == vm_id("v2"));
    CHECK(listing.vms.back().state == vm_state::terminated);
    // A VM without a role is not added to any pool record.
    CHECK(listing.vms.back().pool.empty());
    if (!missing.empty()) {
        CHECK(listing.skipped == std::vector<skipped_vm>{{vm_id("v1"), missing}});
    }
    for (const listed_vm& vm : listing.vms) {
        if (vm.pool.empty()) {
            continue;
        }
        pool_record record;
        record.pool = vm.pool;
        record.vms[vm.vm].zone = vm.zone;
        record.vms[vm.vm].rack = vm.rack;
        CHECK(parse_pool_record(serialize(record)).has_value());
    }
}

// Guards against a stand-in whose list is always up to date, which would hide faults of the code that reads
// it.
TEST_CASE_FIXTURE(vm_fixture, "the VM list of the stand-in lags by the configured time") {
    set_faults(R"({"vm_list_lag_ms": 60000})");
    server->fleet().set_state(vm_id("v1"), vm_state::leaving);
    CHECK(first_vm().state == vm_state::live);
    set_faults(R"({"vm_list_lag_ms": 0})");
    CHECK(first_vm().state == vm_state::leaving);
}

// Guards against a delayed or repeated reboot call that reboots a VM again.
TEST_CASE_FIXTURE(vm_fixture, "a reboot is conditional on the boot identity") {
    const boot_id boot = first_vm().boot;
    const auto refused = control.reboot(request(boot_id("other")));
    CHECK(refused.error().kind == reboot_error_kind::boot_changed);
    CHECK(refused.error().current_boot == boot);
    CHECK(control.reboot(request(boot)).has_value());
    REQUIRE(fakes::wait_until([&] { return first_vm().boot != boot; }));
    CHECK(first_vm().pool == pool_name("q"));
    CHECK(first_vm().state == vm_state::live);
    const auto late = control.reboot(request(boot));
    CHECK(late.error().kind == reboot_error_kind::boot_changed);
    CHECK(late.error().current_boot == first_vm().boot);
}

// Guards against reporting a reboot as not started although it may have started.
TEST_CASE_FIXTURE(vm_fixture, "errors say whether a reboot may have started") {
    const boot_id boot = first_vm().boot;
    set_faults(R"({"lose_reboot_responses": 1})");
    CHECK(control.reboot(request(boot)).error().kind == reboot_error_kind::unknown_outcome);
    CHECK(fakes::wait_until([&] { return first_vm().boot != boot; }));
    server->fleet().set_state(vm_id("v1"), vm_state::terminated);
    CHECK(control.reboot(request(boot)).error().kind == reboot_error_kind::unknown_vm);
    http_vm_control refused("127.0.0.1:1", short_limits);
    CHECK(refused.reboot(request(boot)).error().kind == reboot_error_kind::unavailable);
}

// Guards against a VM that keeps its boot identity after a crash.
TEST_CASE_FIXTURE(vm_fixture, "a crashed VM comes back with a new boot identity") {
    const boot_id boot = first_vm().boot;
    CHECK(server->fleet().crash(vm_id("v1")));
    CHECK(fakes::wait_until([&] { return first_vm().boot != boot; }));
    CHECK(first_vm().pool == pool_name("p"));
}

}  // namespace masticpass
