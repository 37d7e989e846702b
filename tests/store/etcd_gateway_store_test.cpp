#include "store/etcd_gateway_store.h"

#include <optional>
#include <thread>

#include <doctest/doctest.h>

#include "common/clock.h"
#include "fakes/platform_fixture.h"
#include "fakes/wait_until.h"

namespace masticpass {

namespace {

constexpr absl::Duration long_watch_timeout = absl::Seconds(20);
const std::stop_token never_stopped;

struct store_fixture : platform_fixture {
    etcd_gateway_store store{server->address(), short_limits};

    store_revision put(const char* key, store_revision expected, const std::string& value) {
        const auto written = store.compare_and_swap(key, expected, value, lease_id::none);
        REQUIRE(written.has_value());
        return *written;
    }
    store_error_kind put_error(const char* key, store_revision expected) {
        const auto written = store.compare_and_swap(key, expected, "v", lease_id::none);
        REQUIRE_FALSE(written.has_value());
        return written.error().kind;
    }
    // Runs a watch on another thread, and `act` once the stand-in has received the call. Returns the result
    // of the watch.
    template <typename Action>
    tl::expected<watch_result, store_error> watch_during(store_revision after, const std::stop_token& stop,
                                                         const Action& act) {
        const auto calls = server->counters().calls("watch");
        std::optional<tl::expected<watch_result, store_error>> result;
        std::thread watching([&] { result = store.watch("k/", after, long_watch_timeout, stop); });
        const bool is_called =
            fakes::wait_until([&] { return server->counters().calls("watch") == calls + 1; });
        act();
        watching.join();
        REQUIRE(is_called);
        return *result;
    }
};

}  // namespace

// Guards against lost updates, and against values that are changed by the encoding.
TEST_CASE_FIXTURE(store_fixture, "a value is written only at the expected revision") {
    const std::string value("a\0\xff\"\n", 5);
    const auto first = put("k/a", 0, value);
    CHECK(store.read("k/a")->value == value);
    CHECK(store.read("k/a")->revision == first);
    CHECK(put_error("k/a", 0) == store_error_kind::conflict);
    const auto second = put("k/a", first, "");
    CHECK(second > first);
    CHECK(store.read("k/a")->value.empty());
    CHECK(put_error("k/a", first) == store_error_kind::conflict);
    CHECK(store.read("k/b").error().kind == store_error_kind::not_found);
    CHECK(store.compare_and_remove("k/a", first).error().kind == store_error_kind::conflict);
    CHECK(store.compare_and_remove("k/a", second).has_value());
    CHECK(store.read("k/a").error().kind == store_error_kind::not_found);
}

// Guards against a prefix read that misses a key or returns a key of a neighbouring prefix.
TEST_CASE_FIXTURE(store_fixture, "a prefix read returns exactly the keys with the prefix") {
    put("k", 0, "x");
    put("k/a", 0, "1");
    const auto last = put("k/\xff", 0, "2");
    put("k0", 0, "x");
    const auto snapshot = store.read_prefix("k/");
    REQUIRE(snapshot->entries.size() == 2);
    CHECK(snapshot->entries[0].key == "k/a");
    CHECK(snapshot->entries[1].revision == last);
    CHECK(snapshot->revision > last);
    CHECK(store.read_prefix("none/")->entries.empty());
}

// Guards against reporting a write that may have taken effect as safe to repeat.
TEST_CASE_FIXTURE(store_fixture, "errors say whether a write may have taken effect") {
    SUBCASE("a lost response") {
        set_faults(R"({"lose_write_responses": 1})");
        CHECK(put_error("k/a", 0) == store_error_kind::unknown_outcome);
        CHECK(store.read("k/a")->value == "v");
    }
    SUBCASE("a slow store") {
        set_faults(R"({"slow_ms": 1000})");
        CHECK(put_error("k/a", 0) == store_error_kind::unknown_outcome);
        CHECK(store.read("k/a").error().kind == store_error_kind::unavailable);
        set_faults(R"({"slow_ms": 0})");
        REQUIRE(fakes::wait_until([&] { return server->store().current_value("k/a").has_value(); }));
        // If the connection were reused after the timeout, this call would receive the response of an earlier
        // call.
        CHECK(store.read("k/a")->value == "v");
    }
    SUBCASE("a store that is down") {
        set_faults(R"({"store_down": true})");
        CHECK(put_error("k/a", 0) == store_error_kind::unavailable);
        CHECK(store.read("k/a").error().kind == store_error_kind::unavailable);
    }
    SUBCASE("a refused connection") {
        etcd_gateway_store refused("127.0.0.1:1", short_limits);
        CHECK(refused.compare_and_swap("k/a", 0, "v", lease_id::none).error().kind ==
              store_error_kind::unavailable);
    }
    SUBCASE("a value over the limit") {
        const std::string value(etcd_gateway_store::maximum_value_bytes + 1, 'v');
        CHECK(store.compare_and_swap("k/a", 0, value, lease_id::none).error().kind ==
              store_error_kind::too_large);
        put("k/a", 0, std::string(etcd_gateway_store::maximum_value_bytes, 'v'));
    }
}

// Guards against a fault of the stand-in that produces no stale data.
TEST_CASE_FIXTURE(store_fixture, "reads of stale data return an earlier revision") {
    const auto first = put("k/a", 0, "1");
    set_faults(R"({"old_data": true})");
    const auto second = put("k/a", first, "2");
    CHECK(store.read("k/a")->revision == first);
    CHECK(store.read_prefix("k/")->revision < second);
    set_faults(R"({"old_data": false})");
    CHECK(store.read("k/a")->revision == second);
}

// Guards against losing or repeating changes between two watches.
TEST_CASE_FIXTURE(store_fixture, "a watch returns the changes after a revision and can be resumed") {
    const auto first = put("k/a", 0, "1");
    const auto second = put("k/a", first, "2");
    REQUIRE(store.compare_and_remove("k/a", second).has_value());
    auto result = store.watch("k/", first, long_watch_timeout, never_stopped);
    REQUIRE(result->changes.size() == 2);
    CHECK(result->changes[0].entry.value == "2");
    CHECK(result->changes[1].removed);
    CHECK(result->revision == result->changes[1].entry.revision);

    put("other", 0, "x");
    result = watch_during(result->revision, never_stopped, [&] { put("k/b", 0, "3"); });
    REQUIRE(result->changes.size() == 1);
    CHECK(result->changes[0].entry.key == "k/b");
    CHECK(result->changes[0].entry.value == "3");
}

// Guards against a watch that continues after its timeout, a stop request or an outage, or that hides a
// compaction.
TEST_CASE_FIXTURE(store_fixture, "a watch ends without changes") {
    const auto revision = put("k/a", 0, "1");
    SUBCASE("at its timeout") {
        const auto result = store.watch("k/", revision, absl::Milliseconds(50), never_stopped);
        REQUIRE(result.has_value());
        CHECK(result->changes.empty());
        CHECK(result->revision == revision);
    }
    SUBCASE("on a request to stop") {
        std::stop_source stop;
        const absl::Time start = monotonic_clock().now();
        const auto result = watch_during(revision, stop.get_token(), [&] { stop.request_stop(); });
        REQUIRE(result.has_value());
        CHECK(result->changes.empty());
        CHECK(monotonic_clock().now() - start < long_watch_timeout / 2);
    }
    SUBCASE("when the store goes down") {
        const auto result =
            watch_during(revision, never_stopped, [&] { set_faults(R"({"store_down": true})"); });
        CHECK(result.error().kind == store_error_kind::unavailable);
    }
    SUBCASE("after a compaction") {
        put("k/a", revision, "2");
        set_faults(R"({"compact": true})");
        CHECK(store.watch("k/", revision, long_watch_timeout, never_stopped)->compacted);
    }
}

// Guards against keys that remain after their lease has expired, and against an expired lease that appears
// renewed.
TEST_CASE_FIXTURE(store_fixture, "the keys of a lease are removed when it expires") {
    const auto lease = store.grant_lease(absl::Milliseconds(500));
    REQUIRE(lease.has_value());
    REQUIRE(store.compare_and_swap("k/a", 0, "1", *lease).has_value());
    CHECK(store.read("k/a")->lease == *lease);
    CHECK(store.renew_lease(*lease).has_value());
    CHECK(fakes::wait_until([&] { return !store.read("k/a").has_value(); }));
    CHECK(store.renew_lease(*lease).error().kind == store_error_kind::not_found);
    CHECK(store.compare_and_swap("k/a", 0, "1", *lease).error().kind == store_error_kind::not_found);
}

}  // namespace masticpass
