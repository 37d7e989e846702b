#include "routing/slot_ledger.h"

#include <doctest/doctest.h>

namespace masticpass {

namespace {

struct fixture {
    const vm_id v1{"v1"};
    const vm_id v2{"v2"};
    const std::string address = "10.0.0.1:9000";
    slot_ledger ledger{incarnation_id("i1")};

    fixture() { ledger.apply({.epoch = 1, .members = {{entry_id("e1"), incarnation_id("i1"), 1}}}); }

    int open_connections() {
        int opened = 0;
        while (ledger.acquire_connection(address)) {
            ++opened;
        }
        return opened;
    }
};

}  // namespace

// Guards against a reboot under a request: drained must mean that nothing runs and nothing can start.
TEST_CASE_FIXTURE(fixture, "a blocked VM gets no slot and is drained only with nothing in flight") {
    REQUIRE(ledger.acquire_slot(v1));
    CHECK_FALSE(ledger.is_drained(v1));
    ledger.set_blocked({v1});
    CHECK_FALSE(ledger.acquire_slot(v1));
    CHECK_FALSE(ledger.is_drained(v1));
    CHECK(ledger.acquire_slot(v2));
    ledger.release_slot(v1);
    CHECK(ledger.is_drained(v1));
    ledger.set_blocked({});
    CHECK_FALSE(ledger.is_drained(v1));
    CHECK(ledger.acquire_slot(v1));
    CHECK(ledger.in_flight() == 2);
}

// Guards against more requests on a server than it has slots.
TEST_CASE_FIXTURE(fixture, "a sole member has all slots of an instance and no more") {
    for (int slot = 0; slot < slots_per_instance; ++slot) {
        REQUIRE(ledger.acquire_slot(v1));
    }
    CHECK_FALSE(ledger.acquire_slot(v1));
    ledger.release_slot(v1);
    CHECK(ledger.acquire_slot(v1));
}

// Guards against more connections than the present VM at an address allows, when connections that were
// counted for the VM before it close.
TEST_CASE_FIXTURE(fixture, "the connections of the VM before do not make room for the present one") {
    constexpr int limit = slots_per_instance * connections_per_slot;
    CHECK_FALSE(ledger.acquire_connection(address));
    ledger.set_addresses({{v1, address}});
    REQUIRE(open_connections() == limit);
    ledger.set_addresses({{v2, address}});
    REQUIRE(open_connections() == limit);
    for (int closed = 0; closed < limit; ++closed) {
        ledger.release_connection(address);
    }
    CHECK_FALSE(ledger.acquire_connection(address));
    for (int closed = 0; closed < limit; ++closed) {
        ledger.release_connection(address);
    }
    CHECK(open_connections() == limit);
}

// Guards against a second request on the slot of a request that the server may still run, against a
// settlement that gives the slot to another entry VM meanwhile, and against a drain that waits for it.
TEST_CASE_FIXTURE(fixture, "an abandoned slot stays taken and unsettled but keeps no VM from being drained") {
    const incarnation_id self("i1");
    for (int slot = 0; slot < slots_per_instance; ++slot) {
        REQUIRE(ledger.acquire_slot(v1));
    }
    std::uint64_t version = ledger.version();
    ledger.abandon_slot(v1);
    CHECK(ledger.version() > version);
    CHECK(ledger.in_flight() == slots_per_instance - 1);
    CHECK(ledger.usable_slots(v1) == slots_per_instance - 1);
    CHECK_FALSE(ledger.acquire_slot(v1));

    for (int slot = 1; slot < slots_per_instance; ++slot) {
        ledger.abandon_slot(v1);
    }
    ledger.set_blocked({v1});
    CHECK(ledger.is_drained(v1));
    ledger.set_blocked({});
    // The other member gets a part of the slots as soon as no request of this one can be on it.
    ledger.apply(
        {.epoch = 2, .members = {{entry_id("e1"), self, 1}, {entry_id("e2"), incarnation_id("i2"), 2}}});
    CHECK(ledger.announcement().pending_instances == std::vector{v1});
    version = ledger.version();
    for (int slot = 0; slot < slots_per_instance; ++slot) {
        ledger.release_abandoned_slot(v1);
    }
    CHECK(ledger.version() > version);
    CHECK(ledger.announcement().pending_instances.empty());
    CHECK(ledger.acquire_slot(v1));
}

}  // namespace masticpass
