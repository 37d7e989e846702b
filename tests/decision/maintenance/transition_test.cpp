#include "decision/maintenance/transition.h"

#include <doctest/doctest.h>

#include "record_builder.h"

namespace masticpass {

namespace {

const vm_id v0("v0");
const vm_id v1("v1");
const pool_limits one_at_a_time{{.max_unavailable = 1}, 0};

boot_observation seen(const std::string& boot, std::int64_t index, const std::string& role = "a") {
    return {boot_id(boot), pool_name(role), index};
}

pool_record acting_record() {
    const pool_record reserved =
        reserve(make_pool("a", 3), v0, wave_name("w"), make_context("o1"), one_at_a_time, {}).value();
    return start_reboot(reserved, v0, make_context("o1"), seen("b2", 5), one_at_a_time, {}).value();
}

}  // namespace

// Guards against a reservation that ignores failures that are not in the record.
TEST_CASE("reserve counts VMs that are unavailable by observation only") {
    const pool_record record = make_pool("a", 3);
    const auto context = make_context("o1");
    CHECK(reserve(record, v0, {}, context, one_at_a_time, {}));
    const auto refused = reserve(record, v0, {}, context, one_at_a_time, {v1});
    REQUIRE_FALSE(refused);
    CHECK(refused.error().kind == transition_error_kind::budget_exceeded);
    // Reserving a VM that is already unavailable does not use more of the budget.
    CHECK(reserve(record, v1, {}, context, one_at_a_time, {v1}));
}

// Guards against a reboot after failures have used up the budget since the reservation.
TEST_CASE("start_reboot checks the budget and the operation again") {
    const pool_record reserved =
        reserve(make_pool("a", 3), v0, {}, make_context("o1"), one_at_a_time, {}).value();
    CHECK_FALSE(start_reboot(reserved, v0, make_context("o1"), seen("b1", 1), one_at_a_time, {v1}));
    CHECK_FALSE(start_reboot(reserved, v0, make_context("o2"), seen("b1", 1), one_at_a_time, {}));
    CHECK_FALSE(start_reboot(reserved, v0, make_context("o1"), seen("", 1), one_at_a_time, {}));
    CHECK(start_reboot(reserved, v0, make_context("o1"), seen("b1", 1), one_at_a_time, {}));
}

// Guards against completing a reboot with the old boot identity, with a VM list older than the reboot, or in
// another role.
TEST_CASE("complete_reboot needs a newer boot identity in the role of the pool") {
    const pool_record acting = acting_record();
    CHECK_FALSE(complete_reboot(acting, v0, seen("b2", 9), test_now));
    CHECK_FALSE(complete_reboot(acting, v0, seen("b1", 4), test_now));
    CHECK_FALSE(complete_reboot(acting, v0, seen("b3", 6, "other"), test_now));
    CHECK_FALSE(cancel_reservation(acting, v0, operation_id("o1"), test_now));
    const auto released = complete_reboot(acting, v0, seen("b3", 6), test_now);
    REQUIRE(released);
    CHECK(released->vms.at(v0).phase == vm_phase::serving);
    CHECK(released->vms.at(v0).maintained_at == test_now);
    CHECK(released->vms.at(v0).operation.empty());
}

// Guards against a VM that rebooted by itself in its old role and could then never be rebooted into the new
// one.
TEST_CASE("renew_old_boot accepts a newer boot identity in another role") {
    const pool_record acting = acting_record();
    CHECK_FALSE(renew_old_boot(acting, v0, seen("b3", 6, "a")));
    const auto renewed = renew_old_boot(acting, v0, seen("b3", 6, "other"));
    REQUIRE(renewed);
    CHECK(renewed->vms.at(v0).old_boot == boot_id("b3"));
}

// Guards against a cancelled reservation that returns a failed VM to service without a newer boot identity.
TEST_CASE("a failed VM serves again only with a newer boot identity") {
    const pool_record failed = mark_failed(make_pool("a", 3), v0, seen("b2", 5), test_now).value();
    CHECK_FALSE(mark_recovered(failed, v0, seen("b2", 6), test_now));
    CHECK_FALSE(mark_recovered(failed, v0, seen("b1", 4), test_now));
    CHECK(mark_recovered(failed, v0, seen("b3", 6), test_now));
    const pool_record restarting = reserve_failed(failed, v0, make_context("o1")).value();
    const pool_record back = cancel_reservation(restarting, v0, operation_id("o1"), test_now).value();
    CHECK(back.vms.at(v0).phase == vm_phase::failed);
    CHECK_FALSE(mark_recovered(back, v0, seen("b2", 6), test_now));
    // The reboot is permitted although other failures exceed the budget, as the VM is already out of service.
    CHECK(start_reboot(restarting, v0, make_context("o1"), seen("b2", 6), one_at_a_time, {v1}));
}

// Guards against maintaining a VM twice because the clock of the entry VM that started the wave is ahead.
TEST_CASE("maintained_at of a returned VM is not before the start of any wave") {
    pool_record acting = acting_record();
    acting.waves[wave_name("w")].started_at = test_now + absl::Seconds(30);
    const auto released = complete_reboot(acting, v0, seen("b3", 6), test_now);
    CHECK(released.value().vms.at(v0).maintained_at == test_now + absl::Seconds(30));
}

}  // namespace masticpass
