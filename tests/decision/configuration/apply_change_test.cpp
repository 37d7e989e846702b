#include "decision/configuration/apply_change.h"

#include <string>

#include <doctest/doctest.h>

#include "decision/configuration/sample.h"

namespace masticpass {

namespace {

const incarnation_id writer("one");

configuration_record apply(const configuration_record& record, const configuration_change& change) {
    auto applied = apply_change(record, change, {}, writer);
    REQUIRE(applied.has_value());
    return applied->record;
}

change_refusal refusal_of(const configuration_record& record, const configuration_change& change) {
    const auto applied = apply_change(record, change, {}, writer);
    REQUIRE_FALSE(applied.has_value());
    return applied.error();
}

// Returns a record at revision `revisions`, whose history no longer contains the first `revisions - 256`
// changes.
configuration_record record_at_revision(int revisions) {
    configuration_record record = small_record();
    for (int number = 2; number <= revisions; ++number) {
        record =
            apply(record, quota_change("c" + std::to_string(number), record.revision, "loom", 20 + number));
    }
    return record;
}

}  // namespace

// Guards against a lost update: two changes of one section have the same base revision, and the second
// overwrites the first.
TEST_CASE("a change of a section that changed after the base revision is a conflict") {
    const configuration_record record = apply(small_record(), quota_change("a", 1, "dye", 30));
    const change_refusal refusal = refusal_of(record, quota_change("b", 1, "dye", 31));
    CHECK(refusal.kind == change_refusal_kind::conflict);
    REQUIRE(refusal.conflicts.size() == 1);
    CHECK(to_string(refusal.conflicts[0].section) == "team/dye");
    CHECK(refusal.conflicts[0].author == "ines");
    CHECK(refusal.conflicts[0].revision == 2);
    // Changes of another section, and of the same section based on the new revision, do not conflict.
    CHECK(apply(record, quota_change("c", 1, "loom", 30)).revision == 3);
    CHECK(apply(record, quota_change("d", 2, "dye", 31)).revision == 3);
}

// Guards against a conflict that is no longer detected once the change or removal has left the history.
TEST_CASE("conflicts with changes that have left the history are detected") {
    configuration_record record = small_record();
    configuration_change removal = make_change("remove", 1);
    removal.removed.insert({section_kind::wave, "spring"});
    record = apply(record, removal);
    record = apply(record, quota_change("q", 2, "dye", 30));
    for (int number = 0; number < 300; ++number) {
        record =
            apply(record, quota_change("c" + std::to_string(number), record.revision, "loom", 21 + number));
    }
    CHECK(record.history.size() == maximum_history_changes);
    CHECK(refusal_of(record, quota_change("late", 2, "dye", 31)).conflicts.at(0).revision == 3);
    configuration_change readd = make_change("readd", 1);
    readd.set.waves = small_configuration().waves;
    CHECK(refusal_of(record, readd).kind == change_refusal_kind::conflict);
    // A repeated change that has itself left the history must not have a second effect.
    CHECK(refusal_of(record, removal).kind == change_refusal_kind::conflict);
    CHECK(refusal_of(record, quota_change("q", 2, "dye", 30)).kind == change_refusal_kind::conflict);
    CHECK(apply(record, quota_change("new", 3, "dye", 32)).revision == record.revision + 1);
}

// Guards against a change that takes effect twice because it is proposed again after a lost response.
TEST_CASE("a repeated change whose id is in the history returns its first result") {
    const configuration_change change = quota_change("a", 1, "dye", 30);
    configuration_record record = apply(small_record(), change);
    record = apply(record, quota_change("b", 2, "dye", 31));
    const auto repeated = apply_change(record, change, {}, writer);
    REQUIRE(repeated.has_value());
    CHECK(repeated->is_repeated);
    CHECK(repeated->revision == 2);
    CHECK(repeated->record == record);
    // If two operators use the same id for different changes, the second must not be reported as accepted.
    CHECK(refusal_of(record, quota_change("a", 3, "loom", 30)).kind == change_refusal_kind::invalid);
}

// Guards against a change that is applied only in part.
TEST_CASE("an invalid change is refused entirely and with all reasons") {
    configuration_change change = quota_change("a", 1, "dye", 30);
    change.set.pools[pool_name("weaving")] = {};
    change.removed.insert({section_kind::wave, "nothing"});
    const change_refusal refusal = refusal_of(small_record(), change);
    CHECK(refusal.kind == change_refusal_kind::invalid);
    CHECK(refusal.problems.size() >= 4);
}

TEST_CASE("malformed changes are refused") {
    const configuration_record record = small_record();
    CHECK(refusal_of(record, make_change("empty", 1)).kind == change_refusal_kind::invalid);
    CHECK(refusal_of(record, quota_change("", 1, "dye", 30)).kind == change_refusal_kind::invalid);
    CHECK(refusal_of(record, quota_change("a", -1, "dye", 30)).kind == change_refusal_kind::invalid);
    CHECK(refusal_of(record, quota_change("a", 2, "dye", 30)).kind == change_refusal_kind::stale_record);
    configuration_change change = quota_change("a", 1, "dye", 30);
    change.removed.insert({section_kind::team, "dye"});
    CHECK(refusal_of(record, change).kind == change_refusal_kind::invalid);
    change = quota_change("a", 1, "dye", 30);
    change.author = "\xff";
    CHECK(refusal_of(record, change).kind == change_refusal_kind::invalid);
}

// Guards against growth in usage that makes the configuration in force invalid and so blocks every change,
// for example pausing a wave.
TEST_CASE("a problem of the configuration in force does not block an unrelated change") {
    const configuration_record record = small_record();
    configuration_usage usage;
    usage.pool_vms[pool_name("weaving")] = 25;
    CHECK(apply_change(record, quota_change("a", 1, "dye", 30), usage, writer).has_value());
    CHECK_FALSE(apply_change(record, quota_change("b", 1, "loom", 24), usage, writer).has_value());
    CHECK(apply_change(record, quota_change("c", 1, "loom", 25), usage, writer).has_value());
}

// Guards against a record that exceeds the value size limit of the store.
TEST_CASE("a change that makes the record larger than a store value is refused") {
    configuration_change change = make_change("large", 1);
    for (int number = 0; number < 12000; ++number) {
        change.set.teams[team_name("team-" + std::to_string(number))].quota_vms = 1;
    }
    const change_refusal refusal = refusal_of(small_record(), change);
    CHECK(refusal.kind == change_refusal_kind::invalid);
    CHECK(refusal.problems.at(0).message.find("the record would have") == 0);
}

TEST_CASE("the history keeps the newest 256 changes") {
    const configuration_record record = record_at_revision(300);
    REQUIRE(record.history.size() == maximum_history_changes);
    CHECK(record.history.front().revision == 45);
    CHECK(record.history.back().revision == 300);
    CHECK(parse_configuration_record(serialize(record)).value() == record);
}

}  // namespace masticpass
