#include "decision/serving/slot_allotment.h"

#include <bit>

#include <doctest/doctest.h>

namespace masticpass {
namespace {

const vm_id instance("vm-1");
const incarnation_id first("a.1");
const incarnation_id second("b.1");
const incarnation_id third("c.1");

allotment_record with_joined_member(const allotment_record& current, const incarnation_id& incarnation) {
    return with_member(current, entry_id(incarnation.value()), incarnation).value();
}

}  // namespace

TEST_CASE("each slot has one owner and the shares differ by at most one") {
    const allotment_record record =
        with_joined_member(with_joined_member(with_joined_member({}, first), second), third);
    std::uint32_t assigned_slots = 0;
    for (const auto& member : {first, second, third}) {
        const std::uint32_t slots = record.slot_mask_of(instance, member);
        CHECK((assigned_slots & slots) == 0);
        assigned_slots |= slots;
        CHECK(std::popcount(slots) >= 2);
        CHECK(std::popcount(slots) <= 3);
    }
    CHECK(assigned_slots == 0xFF);
    CHECK(with_member(record, entry_id("a"), first).error().reason == refusal_reason::identity_in_use);
}

// Guards against the use of a gained slot that the previous owner still uses.
TEST_CASE("a gained slot is usable only after the previous owner has acknowledged the change") {
    const allotment_record one_member = with_joined_member({}, first);
    const allotment_record two_members = with_joined_member(one_member, second);
    slot_allotment old_owner(first);
    slot_allotment new_owner(second);
    old_owner.apply(one_member);
    for (int request = 0; request < 8; ++request) {
        REQUIRE(old_owner.acquire_slot(instance));
    }
    CHECK_FALSE(old_owner.acquire_slot(instance));
    old_owner.apply(two_members);
    new_owner.apply(one_member);
    new_owner.apply(two_members);
    CHECK(old_owner.usable_slots(instance) == 4);
    CHECK(new_owner.usable_slots(instance) == 0);
    new_owner.record_acknowledgement(first, old_owner.acknowledgement());
    CHECK(new_owner.usable_slots(instance) == 0);
    for (int request = 0; request < 4; ++request) {
        old_owner.release_slot(instance);
    }
    const allotment_acknowledgement acknowledgement = old_owner.acknowledgement();
    CHECK(acknowledgement.pending_instances.empty());
    new_owner.record_acknowledgement(first, acknowledgement);
    CHECK(new_owner.usable_slots(instance) == 4);
    CHECK(new_owner.maximum_connections(instance) == 32);
}

// Guards against idle connections that, together with those of the new owner, exceed the limit of the server.
TEST_CASE("an epoch is acknowledged for an instance only when its connections fit") {
    const allotment_record one_member = with_joined_member({}, first);
    slot_allotment owner(first);
    owner.apply(one_member);
    for (int connection = 0; connection < 64; ++connection) {
        REQUIRE(owner.acquire_connection(instance));
    }
    CHECK_FALSE(owner.acquire_connection(instance));
    owner.apply(with_joined_member(one_member, second));
    CHECK(owner.excess_connections(instance) == 32);
    CHECK(owner.acknowledgement().pending_instances.size() == 1);
    for (int connection = 0; connection < 32; ++connection) {
        owner.release_connection(instance);
    }
    CHECK(owner.acknowledgement().pending_instances.empty());
}

// Guards against the permanent loss of slots when an entry VM is killed.
TEST_CASE("proof that an entry VM has terminated frees its slots") {
    const allotment_record one_member = with_joined_member({}, first);
    const allotment_record two_members = with_joined_member(one_member, second);
    slot_allotment survivor(second);
    survivor.apply(two_members);
    CHECK(survivor.usable_slots(instance) == 0);
    survivor.mark_terminated(first);
    CHECK(survivor.usable_slots(instance) == 4);
    survivor.apply(without_member(two_members, first));
    CHECK(survivor.usable_slots(instance) == 8);
    survivor.apply(one_member);
    CHECK(survivor.usable_slots(instance) == 8);
}

// Guards against a late acknowledgement that reverts a newer one or skips an epoch.
TEST_CASE("late and repeated acknowledgements do not revert a newer one") {
    acknowledgement_table table;
    table.record(first, {.epoch = 3, .pending_instances = {}});
    table.record(first, {.epoch = 5, .pending_instances = {instance}});
    CHECK(table.acknowledged_epoch(first, instance) == 3);
    CHECK(table.acknowledged_epoch(first, vm_id("other")) == 5);
    table.record(first, {.epoch = 5, .pending_instances = {}});
    table.record(first, {.epoch = 5, .pending_instances = {instance}});
    table.record(first, {.epoch = 4, .pending_instances = {instance}});
    CHECK(table.acknowledged_epoch(first, instance) == 5);
}

}  // namespace masticpass
