#include <thread>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "fakes/wait_until.h"
#include "process/test_fleet.h"

namespace masticpass::process_test {

namespace {

configuration_change quota_change(const std::string& id, const std::string& author, int quota) {
    configuration_change change{
        .id = change_id(id), .author = author, .base_revision = 1, .set = {}, .removed = {}};
    change.set.teams[team_name("studio")].quota_vms = quota;
    return change;
}

bool wait_for_revision(const test_fleet& fleet, int revision) {
    return fakes::wait_until([&] {
        for (const std::string& entry : fleet.entries()) {
            const auto status = fleet.operations(entry).status();
            if (!status || (*status)["configuration_revision"].asInt() != revision) {
                return false;
            }
        }
        return true;
    });
}

}  // namespace

// Guards against a change that silently overwrites a concurrent change of another operator, and against the
// refusal of both changes.
TEST_CASE("of two operators that change a section at the same time exactly one gets a conflict") {
    test_fleet fleet;
    fleet.start_serving();
    const std::vector<std::string> authors = {"ann", "bob"};
    std::vector<operations_result<Json::Value>> results(2, Json::Value());
    std::vector<std::thread> operators;
    for (std::size_t index = 0; index < 2; ++index) {
        operators.emplace_back([&, index] {
            const auto change = quota_change(authors[index], authors[index], 50 + static_cast<int>(index));
            results[index] = fleet.operations(fleet.entries()[2 * index]).propose_change(change);
        });
    }
    operators[0].join();
    operators[1].join();
    REQUIRE(results[0].has_value() != results[1].has_value());
    const std::size_t winner = results[0] ? 0 : 1;
    REQUIRE((*results[winner])["revision"].asInt() == 2);
    const operations_error& error = results[1 - winner].error();
    REQUIRE(error.code == operations_error_code::conflict);
    REQUIRE(error.conflicts.size() == 1);
    REQUIRE(to_string(error.conflicts[0].section) == "team/studio");
    REQUIRE(error.conflicts[0].author == authors[winner]);
    REQUIRE(error.conflicts[0].revision == 2);
    REQUIRE(wait_for_revision(fleet, 2));
    const Json::Value shown = fleet.operations("entry-b2").show_configuration().value();
    REQUIRE(shown["sections"]["team/studio"]["quota_vms"].asInt() == 50 + static_cast<int>(winner));
}

// Guards against a change that takes effect twice when an operator repeats it after a lost response.
TEST_CASE("a change that is proposed twice under one change id takes effect once") {
    test_fleet fleet;
    fleet.start_serving();
    const auto change = quota_change("once", "ann", 50);
    fleet.control("", "/control/faults", json_object("lose_write_responses", 1));
    const auto first = fleet.operations("entry-a1").propose_change(change);
    REQUIRE(first.has_value());
    const auto later = fleet.operations("entry-b1").propose_change(quota_change("later", "ann", 60));
    // The base revision of this change is 1, and its section has changed since then.
    REQUIRE(!later);
    const auto second = fleet.operations("entry-b1").propose_change(change);
    REQUIRE(second.has_value());
    REQUIRE((*first)["revision"].asInt() == 2);
    REQUIRE(!(*first)["repeated"].asBool());
    REQUIRE((*second)["revision"].asInt() == 2);
    REQUIRE((*second)["repeated"].asBool());
    REQUIRE(wait_for_revision(fleet, 2));
}

}  // namespace masticpass::process_test
