#include "decision/configuration/configuration_record.h"

#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "decision/configuration/json_object_reader.h"
#include "decision/configuration/sample.h"

namespace masticpass {

namespace {

configuration_record next_record(const configuration_record& record, const std::string& id, int quota) {
    return apply_change(record, quota_change(id, record.revision, "loom", quota), {}, incarnation_id("two"))
        .value()
        .record;
}

std::string replace_first(std::string text, const std::string& from, const std::string& to) {
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

}  // namespace

// Guards against a section that is altered by serialization and parsing.
TEST_CASE("a serialized record is parsed to the same record") {
    configuration_record record = next_record(small_record(), "a", 33);
    CHECK(parse_configuration_record(serialize(record)).value() == record);
    pool_section& pool = record.configuration.pools[pool_name("weaving")];
    pool.survive_rack = false;
    pool.survive_zone = true;
    pool.buffer_vms = 4;
    pool.vms.clear();
    pool.budget = {.max_unavailable = 3,
                   .max_unavailable_per_rack = 1,
                   .max_zones_unavailable = 2,
                   .max_racks_unavailable = 4};
    record.configuration.services[service_name("dye-plan")] = {
        .pool = pool_name("dyeing"), .slots = 2, .connections = 16, .urgent = true, .interactive_ms = 50};
    record.configuration.waves[wave_name("spring")].state = declared_wave_state::cancelled;
    CHECK(parse_configuration_record(serialize(record)).value() == record);
    CHECK(parse_configuration_record(serialize({})).value() == configuration_record());
}

// Guards against a record of another program or version that is parsed as a configuration with fewer sections
// or members.
TEST_CASE("a record that deviates from the format is refused") {
    const std::string text = serialize(small_record());
    REQUIRE(parse_configuration_record(text).has_value());
    const std::vector<std::pair<std::string, std::string>> edits = {
        {"\"writer\":", "\"author\":"},
        {"\"revision\":1", "\"revision\":2"},
        {"\"revision\":1", "\"revision\":1.0"},
        {"\"revision\":1", "\"revision\":\"1\""},
        {"\"quota_vms\":20", "\"quota_vms\":20.5"},
        {"\"quota_vms\":20", "\"quota_vms\":99999999999"},
        {"\"quota_vms\":20", "\"quota_vms\":20,\"quota_vms\":21"},
        {"\"quota_vms\":20", "\"quota\":20"},
        {"\"team/dye\":", "\"crew/dye\":"},
        {"\"state\":\"running\"", "\"state\":\"walking\""},
        {"\"spare\":true", "\"spare\":1"},
        {"\"urgent\":true", "\"urgent\":null"},
        {"\"zones\":[\"a\"", "\"zones\":[1"},
        {"\"change\":\"initial\"", "\"change\":7"},
    };
    for (const auto& edit : edits) {
        CAPTURE(edit.second);
        CHECK_FALSE(parse_configuration_record(replace_first(text, edit.first, edit.second)).has_value());
    }
    CHECK_FALSE(parse_configuration_record(text + "x").has_value());
    CHECK_FALSE(parse_configuration_record(text.substr(0, text.size() - 1)).has_value());
    CHECK_FALSE(parse_configuration_record(std::string(100000, '[')).has_value());
    CHECK_FALSE(parse_configuration_record("").has_value());
}

// Guards against a writer that, after a lost response, mistakes the record of another writer for its own or
// considers its own record lost.
TEST_CASE("the outcome of a write with a lost response is determined from a later record") {
    const configuration_record base = small_record();
    const configuration_record written = next_record(base, "mine", 30);
    const configuration_record other = next_record(base, "other", 31);
    CHECK(outcome_of_write(written, written) == change_outcome::applied);
    CHECK(outcome_of_write(next_record(written, "later", 32), written) == change_outcome::applied);
    CHECK(outcome_of_write(other, written) == change_outcome::not_applied);
    CHECK(outcome_of_write(next_record(other, "later", 32), written) == change_outcome::not_applied);
    // The read is stale, or the write has not reached the store yet.
    CHECK(outcome_of_write(base, written) == change_outcome::unknown);
    configuration_record far = written;
    for (int number = 0; number < 300; ++number) {
        far = next_record(far, "n" + std::to_string(number), 40 + number);
    }
    CHECK(outcome_of_write(far, written) == change_outcome::unknown);
}

// Guards against a record that exceeds the value size limit of the store at the fleet size expected in two
// years.
TEST_CASE("the record of 181 pools and 49 teams fits in a store value") {
    configuration_change change = make_change("initial", 0);
    for (int team = 0; team < 49; ++team) {
        change.set.teams[team_name("team-" + std::to_string(team))].quota_vms = 100;
    }
    for (int number = 0; number < 181; ++number) {
        const std::string name = "pool-" + std::to_string(number);
        pool_section& pool = change.set.pools[pool_name(name)];
        pool = small_configuration().pools[pool_name("weaving")];
        pool.team = team_name("team-" + std::to_string(number % 49));
        for (vm_id& vm : pool.vms) {
            vm = vm_id(name + "-" + vm.value());
        }
        change.set.services[service_name("service-" + std::to_string(number))].pool = pool_name(name);
    }
    configuration_record record = apply_change({}, change, {}, incarnation_id("one")).value().record;
    for (int number = 0; number < 256; ++number) {
        record = apply_change(record,
                              quota_change("cli-0123456789abcdef-" + std::to_string(number), record.revision,
                                           "team-1", 100 + number),
                              {}, incarnation_id("one"))
                     .value()
                     .record;
    }
    const std::size_t size = serialize(record).size();
    MESSAGE("bytes of the record: ", size);
    CHECK(size < maximum_record_bytes / 2);
}

// Guards against a crash or an uncaught exception of the parser when records or changes are corrupted.
TEST_CASE("corrupted records never terminate the process") {
    constexpr std::string_view inserted = "{}[]\",:0-9.eE\\tnu/* \0\xff";
    const std::string sample = serialize(small_record());
    for (std::uint64_t seed = 0; seed < 5000; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::string text = sample;
        for (std::uint64_t edits = 1 + random() % 3; edits > 0; --edits) {
            const auto position = random() % text.size();
            if (random() % 3 == 0) {
                text.erase(position, 1 + random() % 30);
            } else {
                text[position] = inserted[random() % inserted.size()];
            }
        }
        const auto parsed = parse_configuration_record(text);
        CHECK((parsed.has_value() || !parsed.error().empty()));
        if (parsed) {
            CHECK(parse_configuration_record(serialize(*parsed)).has_value());
        }
        if (const auto value = parse_json(text)) {
            CHECK_FALSE(configuration_change_from_json(*value).has_value());
        }
    }
}

TEST_CASE("a serialized change is parsed to the same change") {
    configuration_change change = make_change("a", 7);
    change.set = small_configuration();
    change.removed.insert({section_kind::wave, "autumn"});
    const auto read = configuration_change_from_json(to_json(change));
    REQUIRE(read.has_value());
    CHECK(read->set == change.set);
    CHECK(read->removed == change.removed);
    CHECK(read->base_revision == 7);
    Json::Value unknown = to_json(change);
    unknown["comment"] = "x";
    CHECK_FALSE(configuration_change_from_json(unknown).has_value());
}

}  // namespace masticpass
