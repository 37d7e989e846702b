#include "platform/directory.h"

#include <doctest/doctest.h>

#include "fakes/fake_configuration_store.h"

namespace masticpass::platform {

namespace {

std::string entry(const std::string& address) {
    return R"({"service":"p","address":")" + address +
           R"(","zone":"z","state":"ready","capacity":{"cpu":1000,"mem_mb":10},"labels":["a"],"born":1})";
}

struct directory_fixture {
    std::size_t count() { return workers.list().value().size(); }

    fakes::fake_configuration_store store;
    directory workers{store};
};

}  // namespace

// Guards against a directory that reads every entry each time, and against one that misses changes.
TEST_CASE("the directory reads only changes after the first full read") {
    directory_fixture fixture;
    fixture.store.put("servers/a", entry("10.0.0.1:1"));
    CHECK(fixture.count() == 1);
    fixture.store.put("servers/b", entry("10.0.0.2:1"));
    fixture.store.put("servers/c", "no entry");
    CHECK(fixture.count() == 2);
    fixture.store.remove("servers/a");
    const auto left = fixture.workers.list();
    REQUIRE(left->size() == 1);
    CHECK(left->front().id == worker_id("b"));
    CHECK(fixture.store.calls("read_prefix") == 1);
}

// Guards against a worker that stays listed because its entry was removed in history that the store has
// compacted.
TEST_CASE("the directory is read in full after the store compacted its history") {
    directory_fixture fixture;
    fixture.store.put("servers/a", entry("10.0.0.1:1"));
    CHECK(fixture.count() == 1);
    fixture.store.remove("servers/a");
    fixture.store.put("servers/b", entry("10.0.0.2:1"));
    fixture.store.compact();
    const auto present = fixture.workers.list();
    REQUIRE(present->size() == 1);
    CHECK(present->front().id == worker_id("b"));
}

// Guards against an unreadable change that blocks all later ones.
TEST_CASE("the directory is read in full after a failed call") {
    directory_fixture fixture;
    fixture.store.put("servers/a", entry("10.0.0.1:1"));
    CHECK(fixture.count() == 1);
    fixture.store.set_down(true);
    CHECK_FALSE(fixture.workers.list().has_value());
    fixture.store.set_down(false);
    CHECK(fixture.count() == 1);
    CHECK(fixture.store.calls("read_prefix") == 2);
}

}  // namespace masticpass::platform
