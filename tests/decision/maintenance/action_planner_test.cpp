#include "decision/maintenance/action_planner.h"

#include <doctest/doctest.h>

#include "record_builder.h"

namespace masticpass {

namespace {

const pool_name a("a");
const vm_id v0("v0");
const incarnation_id self("i1");

maintenance_view make_view(int vm_count) {
    maintenance_view view;
    view.self = self;
    view.now = test_now;
    view.pools[a] = {7, make_pool("a", vm_count)};
    view.limits[a] = {{.max_unavailable = 1}, 0};
    view.waves = {{wave_name("w"), {a}, wave_state::running}};
    for (const auto& [id, vm] : view.pools[a].record.vms) {
        view.vms[id] = {.zone = vm.zone,
                        .rack = vm.rack,
                        .boot = boot_id("b1"),
                        .role = a,
                        .list_index = 1,
                        .last_probe_succeeded = true};
    }
    view.drain.senders[zone_name("z0")] = {self, incarnation_id("i2")};
    return view;
}

// Plans the actions of the pool and applies their only write to the view.
void apply_write(maintenance_view& view) {
    const auto actions = plan_pool_actions(view, a);
    REQUIRE_FALSE(actions.empty());
    const auto* write = std::get_if<write_record>(&actions.front());
    REQUIRE(write != nullptr);
    CHECK(write->expected_revision == view.pools[a].revision);
    view.pools[a] = {view.pools[a].revision + 1, write->record};
    ++view.next_sequence;
}

const pool_vm& entry(const maintenance_view& view) {
    return view.pools.at(a).record.vms.at(v0);
}

}  // namespace

TEST_CASE("a VM is reserved, drained, rebooted and returned to service") {
    maintenance_view view = make_view(1);
    apply_write(view);
    CHECK(entry(view).phase == vm_phase::reserved);
    CHECK(is_own_write(view.pools[a].record, change_id("i1.1"), self));
    CHECK(plan_pool_actions(view, a).empty());
    view.drain.acknowledged[{v0, entry(view).operation}] = {self};
    CHECK(plan_pool_actions(view, a).empty());
    view.drain.proved_terminated.insert(incarnation_id("i2"));
    apply_write(view);
    CHECK(entry(view).phase == vm_phase::acting);
    const auto reboots = plan_pool_actions(view, a);
    REQUIRE(reboots.size() == 1);
    CHECK(std::get<reboot_vm>(reboots.front()).expected_boot == boot_id("b1"));
    view.vms[v0].boot = boot_id("b2");
    view.vms[v0].list_index = 2;
    apply_write(view);
    CHECK(entry(view).phase == vm_phase::serving);
    CHECK(view.pools[a].record.waves.at(wave_name("w")).ended);
    CHECK(plan_pool_actions(view, a).empty());
}

// Guards against counting the acknowledgement of an earlier reservation, after which requests were sent
// again.
TEST_CASE("an acknowledgement counts for its own operation only") {
    maintenance_view view = make_view(1);
    apply_write(view);
    view.drain.acknowledged[{v0, operation_id("earlier")}] = {self, incarnation_id("i2")};
    CHECK(plan_pool_actions(view, a).empty());
    view.drain.acknowledged[{v0, entry(view).operation}] = {self, incarnation_id("i2")};
    view.drain.senders.clear();
    CHECK(plan_pool_actions(view, a).empty());
}

// Guards against reserved VMs that stay out of service when the wave stops or failures have used up the
// budget.
TEST_CASE("a reservation is cancelled when the wave stops or the budget is exceeded") {
    maintenance_view view = make_view(3);
    apply_write(view);
    maintenance_view paused = view;
    paused.waves.front().state = wave_state::paused;
    apply_write(paused);
    CHECK(entry(paused).phase == vm_phase::serving);
    view.vms[vm_id("v1")].last_probe_succeeded = false;
    apply_write(view);
    CHECK(entry(view).phase == vm_phase::serving);
}

// Guards against a VM that stays failed for ever after a network failure, because it never shows a newer boot
// identity.
TEST_CASE("a failed VM that passes its probes again without having rebooted is reserved for a reboot") {
    maintenance_view view = make_view(2);
    view.vms[v0].last_probe_succeeded = false;
    view.vms[v0].failure_confirmed = true;
    apply_write(view);
    CHECK(entry(view).phase == vm_phase::failed);
    view.vms[v0].last_probe_succeeded = true;
    view.vms[v0].failure_confirmed = false;
    apply_write(view);
    CHECK(entry(view).phase == vm_phase::reserved);
}

// Guards against a terminated VM that stays in the record, and against treating a VM that is missing from the
// list as terminated.
TEST_CASE("only a VM reported as terminated is removed") {
    maintenance_view view = make_view(2);
    view.waves.clear();
    view.vms.erase(v0);
    CHECK(plan_pool_actions(view, a).empty());
    view.vms[v0].state = vm_list_state::terminated;
    apply_write(view);
    CHECK(view.pools[a].record.vms.size() == 1);
}

}  // namespace masticpass
