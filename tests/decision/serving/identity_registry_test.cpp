#include "decision/serving/identity_registry.h"

#include <doctest/doctest.h>

namespace masticpass {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const incarnation_id own_incarnation("entry-1.a");

}  // namespace

// Guards against two text forms of one identity, which would let a request run twice.
TEST_CASE("an identity has one text form") {
    const request_identity identity{own_incarnation, 42};
    CHECK(identity.to_string() == "entry-1.a.42");
    CHECK(request_identity::parse("entry-1.a.42") == identity);
    for (const auto* text : {"", "42", ".42", "a.", "a.042", "a.+42", "a.4x", "a.99999999999999999999"}) {
        CHECK_FALSE(request_identity::parse(text).has_value());
    }
}

// Guards against a second run of a request that is not repeatable.
TEST_CASE("an identity runs once and returns the stored response afterwards") {
    identity_registry registry(own_incarnation);
    const request_identity identity = registry.issue(3, start).value();
    CHECK(registry.begin(identity, start).decision == identity_begin_decision::may_run);
    CHECK(registry.begin(identity, start).decision == identity_begin_decision::in_progress);
    REQUIRE(registry.finish(
        identity, {.outcome = verdict::ran, .status = 200, .content_type = "", .body = "done"}, start));
    const identity_begin_result repeated = registry.begin(identity, start);
    CHECK(repeated.decision == identity_begin_decision::finished);
    REQUIRE(repeated.response != nullptr);
    CHECK(repeated.response->body == "done");
    CHECK(registry.revert(identity, start).error() == identity_error::not_in_progress);
}

// Guards against an identity that stays blocked although its request did not run.
TEST_CASE("a reverted identity may run again") {
    identity_registry registry(own_incarnation);
    const request_identity identity = registry.issue(1, start).value();
    CHECK(registry.begin(identity, start).decision == identity_begin_decision::may_run);
    REQUIRE(registry.revert(identity, start));
    CHECK(registry.begin(identity, start).decision == identity_begin_decision::may_run);
}

// Guards against identities that overwrite each other's state because one byte holds the states of several.
TEST_CASE("identities whose states share a byte are independent") {
    identity_registry registry(own_incarnation);
    const request_identity first = registry.issue(8, start).value();
    for (std::uint64_t offset = 0; offset < 8; offset += 2) {
        CHECK(registry.begin({own_incarnation, first.sequence + offset}, start).decision ==
              identity_begin_decision::may_run);
    }
    for (std::uint64_t offset = 0; offset < 8; ++offset) {
        const auto expected =
            offset % 2 == 0 ? identity_begin_decision::in_progress : identity_begin_decision::may_run;
        CHECK(registry.begin({own_incarnation, first.sequence + offset}, start).decision == expected);
    }
}

// Guards against the decision `unknown`, which means not run, for an identity that may have run.
TEST_CASE("expired, unknown and foreign identities are distinguished") {
    identity_registry registry(own_incarnation);
    const request_identity identity = registry.issue(1, start).value();
    CHECK(registry.begin({own_incarnation, identity.sequence + 1}, start).decision ==
          identity_begin_decision::unknown);
    CHECK(registry.begin({incarnation_id("other"), identity.sequence}, start).decision ==
          identity_begin_decision::other_issuer);
    const absl::Time last_valid_time = start + absl::Minutes(15) - absl::Milliseconds(1);
    CHECK(registry.begin(identity, last_valid_time).decision == identity_begin_decision::may_run);
    CHECK(registry.begin(identity, start + absl::Minutes(16)).decision == identity_begin_decision::expired);
    CHECK(registry.finish(identity, {}, start + absl::Minutes(16)).error() == identity_error::expired);
}

// Guards against unbounded growth of the cache, and against the decision `may_run` for an identity whose
// response was evicted.
TEST_CASE("the response cache is bounded in bytes") {
    identity_registry registry(own_incarnation, {.maximum_cache_bytes = 2'000});
    const request_identity first = registry.issue(10, start).value();
    for (std::uint64_t offset = 0; offset < 10; ++offset) {
        const request_identity identity{own_incarnation, first.sequence + offset};
        CHECK(registry.begin(identity, start).decision == identity_begin_decision::may_run);
        REQUIRE(registry.finish(identity, {.content_type = "", .body = std::string(500, 'x')}, start));
        CHECK(registry.cached_bytes() <= 2'000);
    }
    const identity_begin_result evicted = registry.begin(first, start);
    CHECK(evicted.decision == identity_begin_decision::finished);
    CHECK(evicted.response == nullptr);
    registry.expire(start + absl::Minutes(16));
    CHECK(registry.cached_bytes() == 0);
}

// Guards against memory use that grows with the uptime or by more than two bits per identity.
TEST_CASE("2,000 identities per second take less than 1 MiB of state") {
    identity_registry registry(own_incarnation);
    absl::Time now = start;
    for (int second = 0; second < 3'000; ++second, now += absl::Seconds(1)) {
        REQUIRE(registry.issue(2'000, now));
    }
    CHECK(registry.live_identities() < 2'000 * 930);
    CHECK(registry.state_bytes() < (std::size_t{1} << 20U));
    CHECK(registry.issue(0, now).error().reason == refusal_reason::invalid_request);
    CHECK(registry.issue(1'000'000, now).error().reason == refusal_reason::invalid_request);
}

}  // namespace masticpass
