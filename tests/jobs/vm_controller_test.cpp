#include "jobs/vm_controller.h"

#include <mutex>
#include <optional>

#include <doctest/doctest.h>

#include "fakes/manual_clock.h"
#include "jobs/owner_fakes.h"
#include "jobs/owner_keys.h"

namespace masticpass {

namespace {

const wave_name wave("1");

// A controller whose rounds run when a test says so. The VM "m" is off, so a wave maintains it at once.
struct controller_fixture {
    controller_fixture() {
        vms.vms = {{.vm = vm_id("other"), .pool = pool_name("off"), .phase = fleet_vm_phase::up}};
        restart();
    }

    // Replaces the controller by that of the next owner.
    void restart() {
        const fenced_writer::owner_key key = replace_owner_key(store);
        owner.emplace(key.create_revision, ownership_limits{}, time.now(), time);
        controller.reset();
        writer.emplace(store, key, metrics);
        controller.emplace(vm_controller::dependencies{.vms = vms,
                                                       .waves = waves,
                                                       .store = store,
                                                       .writer = *writer,
                                                       .owner = *owner,
                                                       .time = time,
                                                       .metrics = metrics},
                           vm_controller_options{},
                           vm_controller::owner_term{.name = "me",
                                                     .earlier_orders_expire_at = time.now(),
                                                     .order_record_retention = absl::Seconds(5)});
        REQUIRE(controller->load());
    }

    void run_round() {
        time.advance(absl::Milliseconds(500));
        owner->renew(time.now());
        controller->refresh_vms(scheduler, mutex);
        controller->run_round(scheduler, mutex, rules);
    }
    void run_rounds(int count) {
        for (int round = 0; round < count; ++round) {
            run_round();
        }
    }

    void request_wave() { waves.requests = {{.name = wave, .vms = {vm_id("m")}}}; }
    void add_vm() {
        vms.vms.push_back({.vm = vm_id("m"), .pool = pool_name("off"), .phase = fleet_vm_phase::up});
    }
    std::string status() const { return store.value(fake_wave_store::status_key(wave)); }

    fakes::manual_clock time;
    fakes::fake_configuration_store store;
    metrics_registry metrics;
    fake_vm_service vms;
    fake_wave_store waves;
    job_scheduler scheduler{{}};
    std::mutex mutex;
    job_rules rules{.pools = {{.name = pool_name("off"), .is_standby = true}}};
    std::optional<ownership> owner;
    std::optional<fenced_writer> writer;
    std::optional<vm_controller> controller;
};

}  // namespace

// Guards against a wave that is reported as completed before the maintenance of a VM has begun: the VM joined
// while the VMs could not be listed, and the last list, which is older than the wave, does not show it.
TEST_CASE("a wave is not completed for a VM that the last list of VMs is too old to show") {
    controller_fixture fixture;
    fixture.run_round();
    fixture.vms.is_unavailable = true;
    fixture.add_vm();
    fixture.request_wave();
    for (int round = 0; round < 20; ++round) {
        fixture.run_round();
        CHECK(fixture.status() != "completed");
    }
    CHECK(fixture.status() == "running");
    fixture.vms.is_unavailable = false;
    for (int round = 0; round < 20 && fixture.status() != "completed"; ++round) {
        fixture.run_round();
        CHECK(fixture.vms.maintained.empty() == (fixture.status() != "completed"));
    }
    CHECK(fixture.status() == "completed");
}

// Guards against a wave that never ends because one of its VMs was terminated.
TEST_CASE("a wave is completed without a VM that a later list does not show") {
    controller_fixture fixture;
    fixture.run_round();
    fixture.request_wave();
    fixture.run_rounds(20);
    CHECK(fixture.status() == "completed");
    CHECK(fixture.vms.maintained.empty());
}

// Guards against operators who see a completed wave run again after each change of owner.
TEST_CASE("a completed wave stays completed under an owner that has yet to list the VMs") {
    controller_fixture fixture;
    fixture.run_round();
    fixture.request_wave();
    fixture.run_rounds(20);
    REQUIRE(fixture.status() == "completed");
    fixture.restart();
    for (int round = 0; round < 20; ++round) {
        fixture.run_round();
        CHECK(fixture.status() == "completed");
    }
}

}  // namespace masticpass
