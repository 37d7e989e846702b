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
