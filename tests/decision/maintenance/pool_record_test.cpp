#include "decision/maintenance/pool_record.h"

#include <doctest/doctest.h>

#include "record_builder.h"

namespace masticpass {

namespace {

pool_record full_record() {
    pool_record record = make_pool("a", 2);
    record.last_change = change_id("i1.7");
    record.last_writer = incarnation_id("i1");
    pool_vm& vm = record.vms.at(vm_id("v0"));
    vm.phase = vm_phase::acting;
    vm.operation = operation_id("o1");
    vm.actor = incarnation_id("i1");
    vm.wave = wave_name("w");
    vm.old_boot = boot_id("b1");
    vm.old_boot_index = 5;
    vm.other_pool = pool_name("b");
    vm.source_revision = 9;
    vm.joining = true;
    record.departures[vm_id("v9")] = {pool_name("b"), operation_id("o2"), 12};
    record.waves[wave_name("w")] = {test_now, true, {vm_id("v1")}};
    return record;
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_CASE("a serialized pool record is parsed to the same record") {
    const auto parsed = parse_pool_record(serialize(full_record()));
    REQUIRE(parsed);
    CHECK(*parsed == full_record());
}

// Guards against reading a record of another version or a corrupt record as one of a smaller pool.
TEST_CASE("parsing rejects malformed and unknown content") {
    const std::string text = serialize(full_record());
    CHECK_FALSE(parse_pool_record(""));
    CHECK_FALSE(parse_pool_record("[]"));
    CHECK_FALSE(parse_pool_record("{}"));
    CHECK_FALSE(parse_pool_record(text.substr(0, text.size() - 1)));
    CHECK_FALSE(parse_pool_record(text + "x"));
    CHECK_FALSE(parse_pool_record(std::string(100'000, '[')));
    CHECK_FALSE(parse_pool_record(replaced(text, "\"acting\"", "\"gone\"")));
    CHECK_FALSE(parse_pool_record(replaced(text, "\"pool\":\"a\"", "\"pool\":7")));
    CHECK_FALSE(parse_pool_record(replaced(text, "\"old_boot_index\":5", "\"old_boot_index\":-5")));
    CHECK_FALSE(parse_pool_record(replaced(text, "\"old_boot_index\":5", "\"old_boot_index\":5.5")));
    CHECK_FALSE(parse_pool_record(replaced(text, "\"old_boot\":\"b1\",", "")));
    CHECK_FALSE(parse_pool_record(replaced(text, "\"joining\":true", "\"joining\":1")));
    const auto unknown = parse_pool_record(replaced(text, "\"joining\"", "\"leaping\""));
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error() == "vms.v0.leaping is unknown");
}

// Guards against a writer that takes the change of another writer for its own, or repeats its own change.
TEST_CASE("a writer recognises its own change") {
    const pool_record record = full_record();
    CHECK(is_own_write(record, change_id("i1.7"), incarnation_id("i1")));
    CHECK_FALSE(is_own_write(record, change_id("i1.8"), incarnation_id("i1")));
    CHECK_FALSE(is_own_write(record, change_id("i1.7"), incarnation_id("i2")));
}

}  // namespace masticpass
