#include "decision/placement/quota_check.h"

#include <doctest/doctest.h>

#include "decision/placement/placement_fixture.h"

namespace masticpass {

// Guards against a quota that is checked per pool instead of per team.
TEST_CASE("the pools of a team count together and teams without a quota are not limited") {
    auto first = make_pool("first", 0);
    auto second = make_pool("second", 0);
    auto other = make_pool("other", 0);
    other.team = team_name("other-team");
    add_vms(first, "a", 3);
    add_vms(second, "a", 2);
    add_vms(other, "a", 9);
    const std::vector<placement_pool> pools{first, second, other};
    const team_quota tight{team_name("team"), 4};
    const team_quota exact{team_name("team"), 5};
    CHECK(find_quota_excesses({&tight, 1}, pools) == std::vector<quota_excess>{{team_name("team"), 4, 5}});
    CHECK(find_quota_excesses({&exact, 1}, pools).empty());
}

// Guards against two moves of one round that comply with the quota individually but exceed it together.
TEST_CASE("planned moves count against the quota of the receiving team") {
    const team_name from("from");
    const team_name to("to");
    const team_quota quota{to, 2};
    quota_tracker tracker;
    tracker.set_quotas({&quota, 1});
    tracker.add_usage(to, 1);
    CHECK(tracker.permits_move(from, to));
    tracker.count_move(from, to);
    CHECK_FALSE(tracker.permits_move(from, to));
    CHECK(tracker.permits_move(to, to));
    CHECK(tracker.permits_move(to, from));
}

}  // namespace masticpass
