#include "agent/service_table_agent.h"

#include <atomic>
#include <memory>

#include <doctest/doctest.h>

#include "agent/allotment_json.h"
#include "agent/record_keys.h"
#include "decision/configuration/sample.h"
#include "fakes/fake_backend_client.h"
#include "fakes/fake_peer_client.h"
#include "fakes/manual_clock.h"
#include "fakes/wait_until.h"

namespace masticpass {

namespace {

// The only entry VM of zone "a", in which the pool "dyeing" has the VM "dyeing0" for the service "dye-plan".
struct fixture {
    const incarnation_id self{"i1"};
    const vm_id vm{"dyeing0"};
    settings configured;
    fakes::manual_clock time;
    fakes::fake_backend_client backends;
    fakes::fake_peer_client peers;
    peer_directory known_peers{{entry_id("e1"), region_name("r"), zone_name("a")}, {}};
    server_directory directory;
    slot_quota quota{self};
    metrics_registry metrics;
    request_router router{{self, time, backends, peers, known_peers, directory, quota, metrics}, {}};
    fleet_state fleet{zone_name("a"), metrics};
    std::atomic<bool> has_fresh_pools = true;
    std::uint64_t revision = 0;

    fixture() {
        configured.entry = {entry_id("e1"), region_name("r"), zone_name("a")};
        apply_record("config", serialize(small_record()));
        apply_record(allotment_key(zone_name("a")),
                     serialize(allotment_record{1, {{entry_id("e1"), self, 1}}}));
        update_vm_list(1, "b1");
        set_phase(vm_phase::serving);
    }

    void apply_record(const std::string& key, const std::string& value) {
        fleet.apply({key, value, ++revision});
    }
    void set_phase(vm_phase phase, const std::string& operation = {}) {
        pool_record record;
        record.pool = pool_name("dyeing");
        pool_vm& entry = record.vms[vm];
        entry.zone = zone_name("a");
        entry.rack = rack_name("a1");
        entry.phase = phase;
        entry.operation = operation_id(operation);
        entry.actor = incarnation_id(operation.empty() ? "" : "i1");
        entry.other_pool = pool_name(phase == vm_phase::moving_out ? "desk" : "");
        apply_record(pool_key(record.pool), serialize(record));
    }
    void update_vm_list(std::int64_t index, const std::string& boot, const std::string& role = "dyeing") {
        directory.update({.index = index,
                          .vms = {{.vm = vm,
                                   .zone = zone_name("a"),
                                   .rack = rack_name("a1"),
                                   .address = "127.0.0.1:1",
                                   .boot = boot_id(boot),
                                   .pool = pool_name(role)}}});
    }
    int free_slots() const {
        for (const routed_load& routed : router.loads()) {
            if (routed.service == service_name("dye-plan")) {
                return routed.load.free_slots;
            }
        }
        return -1;
    }
    bool has_slots(int count) const {
        return fakes::wait_until([&] { return free_slots() == count; });
    }
    bool has_drained(const std::string& operation) const {
        return fakes::wait_until([&] {
            const auto drained = agent->drained();
            return drained.size() == 1 && drained[0].vm == vm &&
                   drained[0].operation == operation_id(operation);
        });
    }
    void start() {
        agent = std::make_unique<service_table_agent>(configured, fleet, directory, quota, router,
                                                      [this] { return has_fresh_pools.load(); });
    }
    std::unique_ptr<service_table_agent> agent;
};

}  // namespace

// Guards against requests to a VM that was drained before this entry VM joined the allotment.
TEST_CASE_FIXTURE(fixture, "no slot is used before the pool records are fresh; fresh records stay fresh") {
    has_fresh_pools = false;
    start();
    REQUIRE(has_slots(0));
    has_fresh_pools = true;
    REQUIRE(has_slots(slots_per_instance));
    has_fresh_pools = false;
    apply_record("config", serialize(small_record()));
    // Once this further change is visible, the record above has been applied.
    update_vm_list(2, "b1", "desk");
    REQUIRE(has_slots(0));
    update_vm_list(3, "b1");
    CHECK(has_slots(slots_per_instance));
}

// Guards against new work for a server that is leaving or runs another role, and against a server that stays
// out of service after its restart.
TEST_CASE_FIXTURE(
    fixture, "the slots of a server that is leaving or runs another role are not used until its next boot") {
    start();
    REQUIRE(has_slots(slots_per_instance));
    directory.mark_leaving(vm, boot_id("b1"));
    CHECK(has_slots(0));
    update_vm_list(2, "b2", "desk");
    CHECK(has_slots(0));
    update_vm_list(3, "b2");
    CHECK(has_slots(slots_per_instance));
}

// Guards against a reboot that interrupts a request because the drain is acknowledged while a request is in
// flight, for an operation that has ended, or for a VM that still receives new requests.
TEST_CASE_FIXTURE(fixture, "the drain of a reserved VM is acknowledged when its last request has ended") {
    start();
    REQUIRE(has_slots(slots_per_instance));
    CHECK(agent->drained().empty());
    REQUIRE(quota.acquire_slot(vm));
    set_phase(vm_phase::reserved, "o1");
    REQUIRE(has_slots(0));
    CHECK(agent->drained().empty());
    CHECK_FALSE(quota.acquire_slot(vm));
    quota.release_slot(vm);
    CHECK(has_drained("o1"));
    set_phase(vm_phase::serving);
    REQUIRE(has_slots(slots_per_instance));
    CHECK(agent->drained().empty());
    set_phase(vm_phase::moving_out, "o2");
    CHECK(has_drained("o2"));
}

}  // namespace masticpass
