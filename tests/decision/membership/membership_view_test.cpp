#include "decision/membership/membership_view.h"

#include <doctest/doctest.h>

#include "decision/membership/incarnation.h"

namespace masticpass {

namespace {

const absl::Time start = absl::UnixEpoch();
const zone_name zone("z1");
constexpr absl::Duration heartbeat_timeout = absl::Seconds(2);

incarnation_id incarnation(int number) {
    return make_incarnation_id(start + absl::Seconds(number), 0xfU - static_cast<std::uint32_t>(number));
}

entry_observation observe(const char* entry, int number, std::int64_t revision = 1) {
    return {.entry = entry_id(entry),
            .incarnation = incarnation(number),
            .zone = zone,
            .address = "127.0.0.1:1",
            .configuration_revision = revision,
            .is_store_reachable = true};
}

}  // namespace

// Guards against a delayed heartbeat of a terminated process that hides its successor.
TEST_CASE("an older incarnation never replaces a newer one") {
    membership_view view;
    CHECK(view.record_heartbeat(observe("a", 2), start));
    CHECK_FALSE(view.record_heartbeat(observe("a", 1), start + absl::Seconds(1)));
    CHECK(view.find(entry_id("a"))->observation.incarnation == incarnation(2));
    CHECK(view.find_termination_proof(entry_id("a"), incarnation(1)) == termination_proof::newer_incarnation);
    CHECK(view.record_heartbeat(observe("a", 3), start + absl::Seconds(1)));
    CHECK(view.find_termination_proof(entry_id("a"), incarnation(2)) == termination_proof::newer_incarnation);
}

// Guards against a second process with the same entry id, whose start would release the slots of the running
// one.
TEST_CASE(
    "a newer incarnation at another address replaces the older one but does not prove its termination") {
    membership_view view;
    entry_observation second = observe("a", 2);
    second.address = "127.0.0.1:2";
    view.record_heartbeat(observe("a", 1), start);
    CHECK(view.record_heartbeat(second, start));
    CHECK(view.alive(zone, start, heartbeat_timeout).size() == 1);
    CHECK(view.find(entry_id("a"))->observation.incarnation == incarnation(2));
    CHECK_FALSE(view.find_termination_proof(entry_id("a"), incarnation(1)).has_value());
    CHECK_FALSE(view.record_heartbeat(observe("a", 1), start));

    SUBCASE("the second process ends and the first one continues") {
        view.record_termination(entry_id("a"), incarnation(2), termination_proof::connection_refused);
        CHECK(view.find_termination_proof(entry_id("a"), incarnation(2)).has_value());
        CHECK_FALSE(view.find_termination_proof(entry_id("a"), incarnation(1)).has_value());
        CHECK(view.record_heartbeat(observe("a", 1), start));
        CHECK(view.alive(zone, start, heartbeat_timeout).size() == 1);
    }
    SUBCASE("the first address refuses connections") {
        view.record_termination(entry_id("a"), incarnation(1), termination_proof::connection_refused);
        CHECK(view.find_termination_proof(entry_id("a"), incarnation(1)) ==
              termination_proof::connection_refused);
        CHECK(view.alive(zone, start, heartbeat_timeout).size() == 1);
    }
    SUBCASE("a newer incarnation sends heartbeats from the first address") {
        view.record_heartbeat(observe("a", 3), start);
        CHECK(view.find_termination_proof(entry_id("a"), incarnation(1)) ==
              termination_proof::newer_incarnation);
        CHECK_FALSE(view.find_termination_proof(entry_id("a"), incarnation(2)).has_value());
    }
}

// Guards against taking over the slots of a frozen process that may resume.
TEST_CASE("missing heartbeats end being alive but do not prove termination") {
    membership_view view;
    view.record_heartbeat(observe("a", 1), start);
    CHECK(view.alive(zone, start + heartbeat_timeout, heartbeat_timeout).size() == 1);
    CHECK(view.alive(zone, start + absl::Hours(9), heartbeat_timeout).empty());
    CHECK_FALSE(view.find_termination_proof(entry_id("a"), incarnation(1)).has_value());
    view.record_heartbeat(observe("a", 1), start + absl::Hours(9));
    CHECK(view.alive(zone, start + absl::Hours(9), heartbeat_timeout).size() == 1);
    CHECK(view.alive(zone_name("z2"), start + absl::Hours(9), heartbeat_timeout).empty());
}

// Guards against a delayed heartbeat that restores an incarnation whose slots were reassigned.
TEST_CASE("a termination proof holds for the incarnation and all older ones, not for a newer one") {
    for (const auto proof : {termination_proof::connection_refused, termination_proof::vm_terminated}) {
        membership_view view;
        view.record_heartbeat(observe("a", 2), start);
        view.record_termination(entry_id("a"), incarnation(2), proof);
        view.record_termination(entry_id("a"), incarnation(1), termination_proof::connection_refused);
        CHECK(view.find_termination_proof(entry_id("a"), incarnation(2)) == proof);
        CHECK(view.find_termination_proof(entry_id("a"), incarnation(1)).has_value());
        CHECK_FALSE(view.find_termination_proof(entry_id("a"), incarnation(3)).has_value());
        CHECK_FALSE(view.record_heartbeat(observe("a", 2), start));
        CHECK(view.alive(zone, start, heartbeat_timeout).empty());
        CHECK(view.record_heartbeat(observe("a", 3), start));
        CHECK(view.alive(zone, start, heartbeat_timeout).size() == 1);
    }
}

// Guards against a configuration revision that appears to decrease when heartbeats arrive out of order.
TEST_CASE("heartbeats out of order do not lower the revision or the time") {
    membership_view view;
    view.record_heartbeat(observe("a", 1, 7), start + absl::Seconds(5));
    view.record_heartbeat(observe("a", 1, 6), start + absl::Seconds(4));
    CHECK(view.find(entry_id("a"))->observation.configuration_revision == 7);
    CHECK(view.find(entry_id("a"))->last_heartbeat_at == start + absl::Seconds(5));
}

}  // namespace masticpass
