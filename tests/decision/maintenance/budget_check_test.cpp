#include "decision/maintenance/budget_check.h"

#include <doctest/doctest.h>

#include "record_builder.h"

namespace masticpass {

namespace {

bool has_room(const availability_budget& budget, const unavailable_vms& observed, const std::string& vm) {
    const pool_record record = make_pool("a", 12, 3, 2);
    return unavailable_vm_counts(record, observed, 0).has_room_for(record.vms.at(vm_id(vm)), budget);
}

}  // namespace

// Guards against a limit that is not applied. v0, v3, v6, v9 are in zone z0; v0 and v3 share a rack.
TEST_CASE("each limit of a budget is applied") {
    const unavailable_vms v0_down = {vm_id("v0")};
    CHECK(has_room({.max_unavailable = 2}, v0_down, "v1"));
    CHECK_FALSE(has_room({.max_unavailable = 1}, v0_down, "v1"));
    CHECK_FALSE(has_room({.max_unavailable = 5, .max_unavailable_per_zone = 1}, v0_down, "v6"));
    CHECK(has_room({.max_unavailable = 5, .max_unavailable_per_zone = 1}, v0_down, "v1"));
    CHECK_FALSE(has_room({.max_unavailable = 5, .max_unavailable_per_rack = 1}, v0_down, "v3"));
    CHECK(has_room({.max_unavailable = 5, .max_unavailable_per_rack = 1}, v0_down, "v6"));
    CHECK_FALSE(has_room({.max_unavailable = 5, .max_zones_unavailable = 1}, v0_down, "v1"));
    CHECK(has_room({.max_unavailable = 5, .max_zones_unavailable = 1}, v0_down, "v6"));
    CHECK_FALSE(has_room({.max_unavailable = 5, .max_racks_unavailable = 1}, v0_down, "v6"));
    CHECK(has_room({.max_unavailable = 5, .max_racks_unavailable = 1}, v0_down, "v3"));
}

// Guards against further disruption after terminated VMs were removed from the record.
TEST_CASE("VMs missing below the minimum size count as unavailable") {
    const pool_record record = make_pool("a", 4);
    CHECK(unavailable_vm_counts(record, {}, 6).total() == 2);
    CHECK(unavailable_vm_counts(record, {}, 3).total() == 0);
}

TEST_CASE("each phase counts towards the budget and the pool size as specified") {
    pool_record record = make_pool("a", 6);
    int index = 0;
    for (const auto phase : {vm_phase::serving, vm_phase::reserved, vm_phase::acting, vm_phase::failed,
                             vm_phase::moving_out, vm_phase::incoming}) {
        record.vms.at(vm_id("v" + std::to_string(index++))).phase = phase;
    }
    CHECK(unavailable_vm_counts(record, {}, 0).total() == 4);
    record.vms.at(vm_id("v2")).joining = true;
    CHECK(unavailable_vm_counts(record, {}, 0).total() == 3);
    CHECK(pool_size(record) == 4);
}

// Guards against accepting a budget under which a wave can never progress.
TEST_CASE("a budget that permits no maintenance is rejected") {
    CHECK(check_satisfiable({{.max_unavailable = 1}, 0}, std::nullopt));
    CHECK_FALSE(check_satisfiable({{.max_unavailable = 0}, 0}, std::nullopt));
    CHECK_FALSE(check_satisfiable({{.max_unavailable = 2, .max_unavailable_per_rack = 0}, 0}, std::nullopt));
    CHECK_FALSE(check_satisfiable({{.max_unavailable = 2, .max_zones_unavailable = -1}, 0}, std::nullopt));
    CHECK_FALSE(check_satisfiable({{.max_unavailable = 2}, 10}, 8));
    CHECK(check_satisfiable({{.max_unavailable = 2}, 10}, 9));
}

}  // namespace masticpass
