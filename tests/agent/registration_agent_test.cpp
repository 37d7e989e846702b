#include "agent/registration_agent.h"

#include <random>

#include <doctest/doctest.h>

#include "decision/membership/incarnation.h"
#include "fakes/fake_configuration_store.h"
#include "fakes/fake_retry_counter.h"
#include "fakes/wait_until.h"

namespace masticpass {

namespace {

incarnation_id incarnation(int number) {
    return make_incarnation_id(absl::UnixEpoch() + absl::Seconds(number), 0);
}

entry_registration make_registration(int number) {
    return {.entry = entry_id("e1"),
            .zone = zone_name("z1"),
            .incarnation = incarnation(number),
            .address = "127.0.0.1:1"};
}

constexpr const char* key = "entries/z1/e1";

struct fixture {
    fakes::fake_configuration_store store;
    fakes::fake_retry_counter retries;
    monotonic_clock time;
    std::mt19937_64 random{1};
    registration_agent agent{
        store,
        retries,
        time,
        random,
        make_registration(2),
        {.time_to_live = absl::Seconds(1),
         .renewal_interval = absl::Milliseconds(5),
         .backoff = {.initial = absl::Milliseconds(1), .maximum = absl::Milliseconds(5)}}};

    bool is_key_current() const { return store.value(key) == registration_value(make_registration(2)); }
};

}  // namespace

TEST_CASE("a serialized registration can be parsed, and a malformed one is refused") {
    const auto registration = make_registration(1);
    CHECK(parse_registration(registration_key(registration), registration_value(registration)) ==
          registration);
    CHECK_FALSE(parse_registration("entries/z1", "{}").has_value());
    CHECK_FALSE(parse_registration(key, "{}").has_value());
    CHECK_FALSE(parse_registration(key, "[").has_value());
}

// Guards against an entry VM that stays unknown to the others after its lease has expired while it was
// suspended.
TEST_CASE_FIXTURE(fixture,
                  "the entry VM registers, renews its lease, and registers again after the lease is lost") {
    agent.start();
    REQUIRE(fakes::wait_until([&] { return agent.is_registered() && store.calls("renew_lease") > 1; }));
    CHECK(is_key_current());
    const auto lease = store.read(key)->lease;
    CHECK(lease != lease_id::none);
    store.expire_lease(lease);
    REQUIRE(fakes::wait_until([&] { return retries.counted(retry_reason::lease_lost) == 1; }));
    REQUIRE(fakes::wait_until([&] { return agent.is_registered() && is_key_current(); }));
    CHECK(store.read(key)->lease != lease);
}

// Guards against giving up during an outage of the store, and against a missing registration after a lost
// response.
TEST_CASE_FIXTURE(fixture,
                  "the entry VM registers once the store is available again, even if responses are lost") {
    store.set_down(true);
    agent.start();
    REQUIRE(fakes::wait_until([&] { return retries.counted(retry_reason::store_unavailable) > 2; }));
    CHECK_FALSE(agent.is_registered());
    store.lose_responses(1);
    store.set_hook([&](std::string_view method, std::string_view) {
        if (method == "compare_and_swap" && store.calls(method) == 1) {
            store.lose_responses(1);
        }
    });
    store.set_down(false);
    REQUIRE(fakes::wait_until([&] { return agent.is_registered(); }));
    CHECK(is_key_current());
    CHECK(retries.counted(retry_reason::unknown_outcome) == 2);
}

// Guards against a resumed old process replacing the registration of its successor.
TEST_CASE_FIXTURE(fixture,
                  "the registration of a newer incarnation is kept, that of an older one is replaced") {
    store.put(key, registration_value(make_registration(3)));
    agent.start();
    REQUIRE(fakes::wait_until([&] { return retries.counted(retry_reason::superseded) > 1; }));
    CHECK(store.value(key) == registration_value(make_registration(3)));
    store.put(key, registration_value(make_registration(1)));
    REQUIRE(fakes::wait_until([&] { return agent.is_registered(); }));
    CHECK(is_key_current());
}

}  // namespace masticpass
