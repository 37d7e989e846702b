#include "platform/kv_worker_directory.h"

#include <doctest/doctest.h>

#include "fakes/fake_configuration_store.h"

namespace masticpass::platform {

namespace {

std::string entry_with_address(const std::string& address) {
    return R"({"service":"p","address":")" + address +
           R"(","zone":"z","state":"ready","capacity":{"cpu":1000,"mem_mb":10},"labels":["a"],"born":1})";
}

struct worker_directory_fixture {
    std::size_t count() { return directory.list().value().size(); }

    fakes::fake_configuration_store store;
    kv_worker_directory directory{store};
};

}  // namespace

// Guards against a directory that reads every entry each time, and against one that misses changes.
TEST_CASE("the directory reads only changes after the first full read") {
    worker_directory_fixture fixture;
    fixture.store.put("servers/a", entry_with_address("10.0.0.1:1"));
    CHECK(fixture.count() == 1);
    fixture.store.put("servers/b", entry_with_address("10.0.0.2:1"));
    fixture.store.put("servers/c", "no entry");
    CHECK(fixture.count() == 2);
    fixture.store.remove("servers/a");
    const auto remaining = fixture.directory.list();
    REQUIRE(remaining->size() == 1);
    CHECK(remaining->front().id == worker_id("b"));
    CHECK(fixture.store.calls("read_prefix") == 1);
}

// Guards against a worker that stays listed because its entry was removed in history that the store has
// compacted.
TEST_CASE("the directory is read in full after the store compacted its history") {
    worker_directory_fixture fixture;
    fixture.store.put("servers/a", entry_with_address("10.0.0.1:1"));
    CHECK(fixture.count() == 1);
    fixture.store.remove("servers/a");
    fixture.store.put("servers/b", entry_with_address("10.0.0.2:1"));
    fixture.store.compact();
    const auto entries = fixture.directory.list();
    REQUIRE(entries->size() == 1);
    CHECK(entries->front().id == worker_id("b"));
}

// Guards against one odd entry of another writer that ends the process, or that keeps it from reading the
// entries and changes beside it.
TEST_CASE("an odd entry names no worker and hides no other entry") {
    const auto with = [](const std::string& from, const std::string& to) {
        std::string text = entry_with_address("10.0.0.9:1");
        return text.replace(text.find(from), from.size(), to);
    };
    std::vector<std::string> odd_values = {
        "",
        "null",
        "[]",
        "\xff\xfe{",
        std::string(100'000, '['),
        std::string(1 << 20, 'x'),
        R"({"service":)" + std::string(100'000, '{'),
        with("10.0.0.9:1", "10.0.0.9:0"),
        with("10.0.0.9:1", "10.0.0.9:65536"),
        with("10.0.0.9:1", "10.0.0.9:99999999999999999999"),
        with("10.0.0.9:1", "10.0.0.9:-1"),
        with("10.0.0.9:1", "nowhere"),
        with("\"born\":1", "\"born\":1e999"),
        with("\"born\":1", "\"born\":99999999999999999999"),
        with("\"born\":1", "\"born\":-5"),
        with("\"born\":1", "\"born\":1.5"),
        with("1000", "1e300"),
        with("1000", "9223372036854775807"),
        with("1000", "-1000"),
        with("{\"cpu\":1000,\"mem_mb\":10}", std::string(5'000, '[') + std::string(5'000, ']')),
        with("\"ready\"", "\"asleep\""),
        with("\"ready\"", "7"),
        with("\"p\"", "null"),
        with("[\"a\"]", "[[\"a\"]]"),
    };
    worker_directory_fixture fixture;
    fixture.store.put("servers/a", entry_with_address("10.0.0.1:1"));
    CHECK(fixture.count() == 1);
    for (std::size_t index = 0; index < odd_values.size(); ++index) {
        INFO("value ", index);
        fixture.store.put("servers/odd", odd_values[index]);
        CHECK(fixture.count() == 1);
        kv_worker_directory started_later(fixture.store);
        CHECK(started_later.list().value().size() == 1);
        // The entry of a worker is overwritten, and the worker writes it again.
        fixture.store.put("servers/b", odd_values[index]);
        CHECK(fixture.count() == 1);
        fixture.store.put("servers/b", entry_with_address("10.0.0.2:1"));
        CHECK(fixture.count() == 2);
        fixture.store.remove("servers/b");
    }
    CHECK(fixture.store.calls("read_prefix") == 1 + static_cast<int>(odd_values.size()));
}

// Guards against an unreadable change that blocks all later ones.
TEST_CASE("the directory is read in full after a failed call") {
    worker_directory_fixture fixture;
    fixture.store.put("servers/a", entry_with_address("10.0.0.1:1"));
    CHECK(fixture.count() == 1);
    fixture.store.set_down(true);
    CHECK_FALSE(fixture.directory.list().has_value());
    fixture.store.set_down(false);
    CHECK(fixture.count() == 1);
    CHECK(fixture.store.calls("read_prefix") == 2);
}

}  // namespace masticpass::platform
