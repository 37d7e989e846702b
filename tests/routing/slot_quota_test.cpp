#include "routing/slot_quota.h"

#include <doctest/doctest.h>

namespace masticpass {

namespace {

struct fixture {
    const vm_id v1{"v1"};
    const vm_id v2{"v2"};
    const std::string address = "10.0.0.1:9000";
    slot_quota quota{incarnation_id("i1")};

    fixture() { quota.apply({.epoch = 1, .members = {{entry_id("e1"), incarnation_id("i1"), 1}}}); }

    int open_connections() {
        int opened = 0;
        while (quota.acquire_connection(address)) {
            ++opened;
        }
        return opened;
    }
};

}  // namespace

// Guards against a reboot of a VM that runs a request: on a drained VM, no request may run and none may
// start.
TEST_CASE_FIXTURE(
    fixture,
    "no slot of a blocked VM can be acquired, and the VM is drained only if no request is in flight") {
    REQUIRE(quota.acquire_slot(v1));
    CHECK_FALSE(quota.is_drained(v1));
    quota.set_blocked({v1});
    CHECK_FALSE(quota.acquire_slot(v1));
    CHECK_FALSE(quota.is_drained(v1));
    CHECK(quota.acquire_slot(v2));
    quota.release_slot(v1);
    CHECK(quota.is_drained(v1));
    quota.set_blocked({});
    CHECK_FALSE(quota.is_drained(v1));
    CHECK(quota.acquire_slot(v1));
    CHECK(quota.in_flight() == 2);
}

// Guards against more requests on a server than it has slots.
TEST_CASE_FIXTURE(fixture, "the only member of the allotment may use all slots of an instance and no more") {
    for (int slot = 0; slot < slots_per_instance; ++slot) {
        REQUIRE(quota.acquire_slot(v1));
    }
    CHECK_FALSE(quota.acquire_slot(v1));
    quota.release_slot(v1);
    CHECK(quota.acquire_slot(v1));
}

// Guards against more connections than the current VM at an address allows, when connections that were
// counted for the previous VM are closed.
TEST_CASE_FIXTURE(
    fixture, "closed connections of the previous VM at an address do not make room for the current one") {
    constexpr int limit = slots_per_instance * connections_per_slot;
    CHECK_FALSE(quota.acquire_connection(address));
    quota.set_addresses({{v1, address}});
    REQUIRE(open_connections() == limit);
    quota.set_addresses({{v2, address}});
    REQUIRE(open_connections() == limit);
    for (int closed = 0; closed < limit; ++closed) {
        quota.release_connection(address);
    }
    CHECK_FALSE(quota.acquire_connection(address));
    for (int closed = 0; closed < limit; ++closed) {
        quota.release_connection(address);
    }
    CHECK(open_connections() == limit);
}

// Guards against a second request on the slot of a request that the server may still run, against an
// acknowledgement that lets another entry VM use the slot meanwhile, and against a drain that waits for the
// slot.
TEST_CASE_FIXTURE(fixture, "an abandoned slot stays in use and pending but does not prevent a drain") {
    const incarnation_id self("i1");
    for (int slot = 0; slot < slots_per_instance; ++slot) {
        REQUIRE(quota.acquire_slot(v1));
    }
    std::uint64_t version = quota.version();
    quota.abandon_slot(v1);
    CHECK(quota.version() > version);
    CHECK(quota.in_flight() == slots_per_instance - 1);
    CHECK(quota.usable_slots(v1) == slots_per_instance - 1);
    CHECK_FALSE(quota.acquire_slot(v1));

    for (int slot = 1; slot < slots_per_instance; ++slot) {
        quota.abandon_slot(v1);
    }
    quota.set_blocked({v1});
    CHECK(quota.is_drained(v1));
    quota.set_blocked({});
    // The other member may use its share of the slots as soon as no request of this member can be on them.
    quota.apply(
        {.epoch = 2, .members = {{entry_id("e1"), self, 1}, {entry_id("e2"), incarnation_id("i2"), 2}}});
    CHECK(quota.acknowledgement().pending_instances == std::vector{v1});
    version = quota.version();
    for (int slot = 0; slot < slots_per_instance; ++slot) {
        quota.release_abandoned_slot(v1);
    }
    CHECK(quota.version() > version);
    CHECK(quota.acknowledgement().pending_instances.empty());
    CHECK(quota.acquire_slot(v1));
}

}  // namespace masticpass
