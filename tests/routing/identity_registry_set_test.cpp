#include "routing/identity_registry_set.h"

#include <doctest/doctest.h>

#include "peer/identity_transfer.h"

namespace masticpass {

namespace {

class fixed_clock final : public clock {
public:
    absl::Time now() const override { return time; }
    absl::Time time = absl::UnixEpoch() + absl::Hours(1);
};

request_identity parse(const request_id& id) {
    return *request_identity::parse(id.value());
}

const incarnation_id issuer("issuer");
const incarnation_id successor("successor");

}  // namespace

// Guards against a second run after a planned stop of the issuer, and against identities that are lost by the
// stop.
TEST_CASE("requests with identities that were handed over run only at the new holder and at most once") {
    const fixed_clock time;
    identity_registry_set first(issuer, {}, time);
    identity_registry_set second(successor, {}, time);
    const auto ids = *first.issue(3);
    REQUIRE(first.begin(parse(ids[0])).decision == identity_begin_decision::may_run);
    first.finish(parse(ids[0]), service_response{200, "text/plain", "done"});
    REQUIRE(first.begin(parse(ids[1])).decision == identity_begin_decision::may_run);

    const auto transfers = parse_transfers(to_json(first.hand_over()));
    REQUIRE(transfers);
    REQUIRE(second.take_over(*transfers));

    for (const request_id& id : ids) {
        CHECK(first.begin(parse(id)).decision == identity_begin_decision::other_issuer);
    }
    CHECK(second.begin(parse(ids[0])).decision == identity_begin_decision::finished);
    CHECK(second.begin(parse(ids[1])).decision == identity_begin_decision::in_progress);
    CHECK(second.begin(parse(ids[2])).decision == identity_begin_decision::may_run);
    CHECK(second.begin(parse(ids[2])).decision == identity_begin_decision::in_progress);
    CHECK(second.taken_over() == std::vector<incarnation_id>{issuer});
    CHECK_FALSE(first.issue(1));
}

// Guards against the verdict "not run" for an identity whose request has run or may run, or that another
// entry VM holds.
TEST_CASE("an identity is unused before its run and after a run that ended as not run, only at its holder") {
    fixed_clock time;
    const identity_registry_options options{.lifetime = absl::Minutes(15)};
    identity_registry_set first(issuer, options, time);
    identity_registry_set second(successor, options, time);
    const auto id = parse(first.issue(1)->front());
    CHECK(first.is_unused(id));
    CHECK_FALSE(first.is_unused({issuer, id.sequence + 1}));
    CHECK_FALSE(second.is_unused(id));

    REQUIRE(first.begin(id).decision == identity_begin_decision::may_run);
    CHECK_FALSE(first.is_unused(id));
    first.finish(id, tl::unexpected(refusal{verdict::not_run, refusal_reason::deadline_passed, "late"}));
    CHECK(first.is_unused(id));

    REQUIRE(second.take_over(first.hand_over()));
    CHECK_FALSE(first.is_unused(id));
    CHECK(second.is_unused(id));
    REQUIRE(second.begin(id).decision == identity_begin_decision::may_run);
    second.finish(id, service_response{200, "text/plain", "done"});
    CHECK_FALSE(second.is_unused(id));
    time.time += absl::Minutes(16);
    CHECK_FALSE(second.is_unused(id));
}

// Guards against a repeated transfer that marks identities as unused although their runs have begun.
TEST_CASE("a transfer is refused if it is already held or if the own identities were handed over") {
    const fixed_clock time;
    identity_registry_set first(issuer, {}, time);
    identity_registry_set second(successor, {}, time);
    const auto id = first.issue(1)->front();
    const auto transfers = first.hand_over();
    REQUIRE(second.take_over(transfers));
    REQUIRE(second.begin(parse(id)).decision == identity_begin_decision::may_run);
    CHECK_FALSE(second.take_over(transfers));
    CHECK(second.begin(parse(id)).decision == identity_begin_decision::in_progress);

    identity_registry_set third(incarnation_id("third"), {}, time);
    const auto both = second.hand_over();
    CHECK(both.size() == 2);
    CHECK(third.take_over(both));
    CHECK_FALSE(second.take_over(third.hand_over()));
}

// Guards against inconsistent transfers, which could mark identities as unused although their requests have
// run.
TEST_CASE("an inconsistent transfer is refused") {
    const fixed_clock time;
    identity_registry_set first(issuer, {}, time);
    identity_registry_set second(successor, {}, time);
    REQUIRE(first.issue(9));
    auto transfers = first.hand_over();
    SUBCASE("missing states") {
        transfers[0].parts[0].states.pop_back();
    }
    SUBCASE("missing end") {
        ++transfers[0].next_sequence;
    }
    SUBCASE("negative age") {
        transfers[0].parts[0].age = absl::Seconds(-1);
    }
    CHECK_FALSE(second.take_over(transfers));
    CHECK(second.taken_over().empty());
}

// Guards against identities that expire too late because a transfer has restarted their validity.
TEST_CASE("a transfer does not extend the validity of identities") {
    fixed_clock time;
    const identity_registry_options options{.lifetime = absl::Minutes(15)};
    identity_registry_set first(issuer, options, time);
    identity_registry_set second(successor, options, time);
    const auto id = first.issue(1)->front();
    time.time += absl::Minutes(10);
    REQUIRE(second.take_over(first.hand_over()));
    time.time += absl::Minutes(6);
    CHECK(second.taken_over().empty());
    CHECK(second.begin(parse(id)).decision == identity_begin_decision::other_issuer);
}

}  // namespace masticpass
