#include "decision/maintenance/wave_planner.h"

#include <set>

#include <doctest/doctest.h>

#include "decision/maintenance/wave_progress.h"
#include "record_builder.h"

namespace masticpass {

namespace {

const wave_name w("w");

declared_wave wave_of(wave_state state) {
    return {w, {pool_name("a")}, state};
}

// Runs a wave in rounds in which every reserved VM is maintained; returns the number of rounds.
int rounds_of(pool_record record, const availability_budget& budget) {
    record = start_wave(record, w, test_now);
    const std::vector<declared_wave> waves = {wave_of(wave_state::running)};
    for (int round = 0; round < 1000; ++round) {
        const auto planned = plan_reservations(record, {budget, 0}, {}, {}, waves, test_now);
        if (planned.empty()) {
            return round;
        }
        for (const planned_reservation& item : planned) {
            record.vms.at(item.vm).maintained_at = test_now;
        }
    }
    return -1;
}

}  // namespace

// Guards against waves that take longer than their budgets require.
TEST_CASE("a wave takes the least number of rounds that the budget permits") {
    const pool_record record = make_pool("a", 24, 3, 4);
    for (const availability_budget& budget :
         {availability_budget{.max_unavailable = 1}, availability_budget{.max_unavailable = 5},
          availability_budget{.max_unavailable = 9, .max_unavailable_per_zone = 3},
          availability_budget{.max_unavailable = 9, .max_unavailable_per_rack = 2},
          availability_budget{.max_unavailable = 9, .max_zones_unavailable = 1},
          availability_budget{.max_unavailable = 9, .max_racks_unavailable = 1},
          availability_budget{
              .max_unavailable = 8, .max_zones_unavailable = 2, .max_racks_unavailable = 2}}) {
        CHECK(rounds_of(record, budget) == lower_bound_rounds(record, budget));
    }
}

// Guards against reservations for a wave that an operator has paused or cancelled.
TEST_CASE("only running waves are planned") {
    const pool_record record = start_wave(make_pool("a", 4), w, test_now);
    const pool_limits limits{{.max_unavailable = 2}, 0};
    const auto planned = [&](wave_state state) {
        return plan_reservations(record, limits, {}, {}, std::vector{wave_of(state)}, test_now).size();
    };
    CHECK(planned(wave_state::running) == 2);
    CHECK(planned(wave_state::paused) == 0);
    CHECK(planned(wave_state::cancelled) == 0);
}

// Guards against VMs that are never maintained because no wave includes them.
TEST_CASE("due VMs are planned without a wave") {
    pool_record record = make_pool("a", 4);
    record.vms.at(vm_id("v2")).maintained_at = test_now - absl::Hours(24 * 36);
    const auto planned = plan_reservations(record, {}, {}, {}, {}, test_now);
    REQUIRE(planned.size() == 1);
    CHECK(planned.front().vm == vm_id("v2"));
    CHECK(planned.front().wave.empty());
    CHECK(plan_reservations(record, {}, {}, {}, std::vector{wave_of(wave_state::paused)}, test_now).empty());
}

// Guards against a wave that continues although failures use up the budget, and against one that never ends
// because a VM does not return.
TEST_CASE("a wave pauses when failures use up the budget and ends without VMs that never return") {
    pool_record record = start_wave(make_pool("a", 3), w, test_now);
    const std::vector<declared_wave> waves = {wave_of(wave_state::running)};
    record.vms.at(vm_id("v0")).phase = vm_phase::failed;
    record.vms.at(vm_id("v0")).since = test_now;
    const pool_limits one{{.max_unavailable = 1}, 0};
    const pool_limits two{{.max_unavailable = 2}, 0};
    CHECK(plan_reservations(record, one, {}, {}, waves, test_now).empty());
    const auto report = [&](const pool_limits& limits, absl::Time now) {
        return report_wave(waves.front(), {{pool_name("a"), {1, record}}}, {{pool_name("a"), limits}}, {},
                           now);
    };
    CHECK(report(one, test_now).status == wave_status::paused_by_failures);
    CHECK(report(two, test_now).status == wave_status::running);
    CHECK(plan_reservations(record, two, {}, {}, waves, test_now).size() == 1);
    for (const char* id : {"v1", "v2"}) {
        record.vms.at(vm_id(id)).maintained_at = test_now;
    }
    CHECK_FALSE(can_end_wave(record, waves.front(), test_now));
    const absl::Time later = test_now + return_timeout + absl::Seconds(1);
    REQUIRE(can_end_wave(record, waves.front(), later));
    record = end_wave(record, w, later);
    const wave_report last = report(two, later);
    CHECK(last.status == wave_status::ended);
    CHECK(last.done == 2);
    CHECK(last.never_returned == std::vector{vm_id("v0")});
}

}  // namespace masticpass
