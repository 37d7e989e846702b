#include "decision/maintenance/move_transition.h"

#include <doctest/doctest.h>

#include "record_builder.h"

namespace masticpass {

namespace {

const vm_id v0("v0");
const pool_limits limits{{.max_unavailable = 2}, 2};
const boot_observation current{boot_id("b1"), pool_name("a"), 5};
const incarnation_id actor("i1");

stored_pool_record empty_pool(const std::string& name) {
    return {1, make_pool(name, 0)};
}

// Pool a, from which `operation` moves v0 to `target`.
stored_pool_record moving(const std::string& target, const std::string& operation, std::int64_t revision) {
    return {
        revision,
        start_move(make_pool("a", 3), v0, pool_name(target), make_context(operation), limits, {}).value()};
}

}  // namespace

TEST_CASE("a move transfers the ownership from the source pool to the target pool") {
    const stored_pool_record a = moving("b", "o1", 10);
    const stored_pool_record b = {11, add_incoming(empty_pool("b").record, v0, a, actor, test_now).value()};
    CHECK(owner_of(v0, {{pool_name("a"), a}, {pool_name("b"), b}}) == pool_name("a"));
    CHECK_FALSE(start_joining(b.record, v0, a.record, current, actor, test_now));
    const stored_pool_record given = {12, hand_over(a.record, v0, b).value()};
    CHECK(owner_of(v0, {{pool_name("a"), given}, {pool_name("b"), b}}) == pool_name("b"));
    CHECK_FALSE(remove_incoming(b.record, v0, given));
    CHECK_FALSE(remove_departure(given.record, v0, b));
    const stored_pool_record taken = {
        13, start_joining(b.record, v0, given.record, current, actor, test_now).value()};
    CHECK(taken.record.vms.at(v0).joining);
    CHECK(remove_departure(given.record, v0, taken).value().departures.empty());
    CHECK(complete_reboot(taken.record, v0, {boot_id("b2"), pool_name("b"), 6}, test_now));
}

// Guards against a move that takes the source below its minimum size or beyond its budget.
TEST_CASE("a move respects the minimum size and the budget of the source") {
    const pool_record a = make_pool("a", 3);
    const auto context = make_context("o1");
    const auto below = start_move(a, v0, pool_name("b"), context, {{.max_unavailable = 2}, 3}, {});
    REQUIRE_FALSE(below);
    CHECK(below.error().kind == transition_error_kind::below_minimum);
    CHECK_FALSE(start_move(a, v0, pool_name("b"), context, limits, {vm_id("v1"), vm_id("v2")}));
    CHECK_FALSE(start_move(a, v0, pool_name("a"), context, limits, {}));
}

// Guards against two owners. The incoming entry of a cancelled move is still in pool b while the VM is handed
// over to pool c.
TEST_CASE("the incoming entry of a cancelled move gives no ownership") {
    const stored_pool_record a = moving("b", "o1", 10);
    const stored_pool_record b = {11, add_incoming(empty_pool("b").record, v0, a, actor, test_now).value()};
    const pool_record cancelled = cancel_move(a.record, v0, operation_id("o1"), test_now).value();
    const stored_pool_record again = {
        13, start_move(cancelled, v0, pool_name("c"), make_context("o2"), limits, {}).value()};
    CHECK_FALSE(hand_over(again.record, v0, b));
    const stored_pool_record c = {14,
                                  add_incoming(empty_pool("c").record, v0, again, actor, test_now).value()};
    const stored_pool_record given = {15, hand_over(again.record, v0, c).value()};
    CHECK_FALSE(start_joining(b.record, v0, given.record, current, actor, test_now));
    CHECK(remove_incoming(b.record, v0, given).value().vms.empty());
    CHECK(start_joining(c.record, v0, given.record, current, actor, test_now));
}

// Guards against a VM without an owner, which results if an incoming entry is removed because of a source
// record from before the move.
TEST_CASE("an incoming entry is not removed because of an older source record") {
    const stored_pool_record a = moving("b", "o1", 10);
    const pool_record b = add_incoming(empty_pool("b").record, v0, a, actor, test_now).value();
    CHECK_FALSE(remove_incoming(b, v0, {9, make_pool("a", 3)}));
    CHECK(remove_incoming(b, v0, {12, make_pool("a", 3)}));
}

// Guards against a second owner of a VM for which the VM list still shows the old role.
TEST_CASE("only a VM that no record lists is admitted") {
    const stored_pool_record a = moving("b", "o1", 10);
    const pool_record b = make_pool("b", 0);
    CHECK_FALSE(admit_vm(b, v0, zone_name("z"), rack_name("r"), make_context("o3"), {{pool_name("a"), a}}));
    const pool_record admitted =
        admit_vm(b, vm_id("n"), zone_name("z"), rack_name("r"), make_context("o3"), {{pool_name("a"), a}})
            .value();
    CHECK_FALSE(complete_admission(admitted, vm_id("n"), current, test_now));
    CHECK(complete_admission(admitted, vm_id("n"), {boot_id("b1"), pool_name("b"), 1}, test_now));
}

}  // namespace masticpass
