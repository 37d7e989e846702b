#include "jobs/fenced_writer.h"

#include <doctest/doctest.h>

#include "fakes/fake_configuration_store.h"
#include "jobs/owner_keys.h"

namespace masticpass {

namespace {

struct writer_fixture {
    writer_fixture() { owner = take_over(); }

    fenced_writer::owner_key take_over() { return replace_owner_key(store); }

    fakes::fake_configuration_store store;
    metrics_registry metrics;
    fenced_writer::owner_key owner;
};

}  // namespace

// Guards against writes of an owner that was suspended while another one took over.
TEST_CASE("writes of an earlier owner are rejected") {
    writer_fixture fixture;
    fenced_writer earlier(fixture.store, fixture.owner, fixture.metrics);
    CHECK(earlier.write({{.key = "a", .value = "1"}}, {}).has_value());
    fenced_writer next(fixture.store, fixture.take_over(), fixture.metrics);
    CHECK(next.write({{.key = "a", .value = "2"}}, {}).has_value());
    const auto rejected = earlier.write({{.key = "a", .value = "3"}}, {});
    REQUIRE_FALSE(rejected.has_value());
    CHECK(rejected.error() == fenced_writer::write_error::superseded);
    CHECK(earlier.is_superseded());
    CHECK_FALSE(next.is_superseded());
    CHECK(fixture.store.value("a") == "2");
}

// Guards against records that revert because a write without a response takes effect after later ones.
TEST_CASE("a delayed write does not overwrite later ones") {
    writer_fixture fixture;
    fenced_writer writer(fixture.store, fixture.owner, fixture.metrics);
    fixture.store.delay_requests(3);
    CHECK_FALSE(writer.write({{.key = "a", .value = "1"}}, {}).has_value());
    CHECK(writer.write({{.key = "a", .value = "2"}}, {}).has_value());
    fixture.store.deliver_delayed();
    CHECK(fixture.store.value("a") == "2");
    CHECK(writer.write({{.key = "a", .value = "3"}}, {}).has_value());
    CHECK(fixture.store.value("a") == "3");
}

// Guards against an owner that mistakes its own write, whose response was lost, for a write of another owner.
TEST_CASE("a lost response does not end the term") {
    writer_fixture fixture;
    fenced_writer writer(fixture.store, fixture.owner, fixture.metrics);
    fixture.store.lose_responses(1);
    CHECK(writer.write({{.key = "a", .value = "1"}}, {}).has_value());
    CHECK(writer.write({{.key = "a", .value = "2"}}, {"b"}).has_value());
    CHECK(fixture.store.value("a") == "2");
}

// Load pattern: half of the responses of the store are lost while queues are at their peak. Guards against
// records that are written several times over, each time with another chance to lose the response.
TEST_CASE("a transaction that has taken effect is not repeated after its response was lost") {
    writer_fixture fixture;
    fenced_writer writer(fixture.store, fixture.owner, fixture.metrics);
    fixture.store.lose_responses(1);
    CHECK(writer.write({{.key = "a", .value = "1"}}, {}).has_value());
    CHECK(fixture.store.calls("transact") == 1);
    CHECK(fixture.store.value("a") == "1");
}

// Guards against a write that counts as stored because an earlier one, which was given up, has taken effect.
TEST_CASE("a delayed transaction is not mistaken for a later one") {
    writer_fixture fixture;
    fenced_writer writer(fixture.store, fixture.owner, fixture.metrics);
    fixture.store.delay_requests(3);
    CHECK_FALSE(writer.write({{.key = "a", .value = "1"}}, {}).has_value());
    fixture.store.lose_requests(1);
    bool is_delivered = false;
    fixture.store.set_hook([&](std::string_view method, std::string_view) {
        // Before the writer reads the owner key after the lost request.
        if (method == "read" && !is_delivered) {
            is_delivered = true;
            fixture.store.deliver_delayed();
        }
    });
    CHECK(writer.write({{.key = "a", .value = "2"}}, {}).has_value());
    CHECK(is_delivered);
    CHECK(fixture.store.value("a") == "2");
}

TEST_CASE("changes above the limit of one transaction are split into several") {
    writer_fixture fixture;
    fenced_writer writer(fixture.store, fixture.owner, fixture.metrics);
    std::vector<store_write> writes;
    writes.reserve(70);
    for (int number = 0; number < 70; ++number) {
        writes.push_back({.key = "k" + std::to_string(number), .value = "v"});
    }
    CHECK(writer.write(writes, {"k0", "k1"}).has_value());
    CHECK(fixture.store.value("k69") == "v");
    CHECK(fixture.store.value("k0").empty());
    CHECK(fixture.store.calls("transact") == 3);
}

TEST_CASE("a write fails while the store is unavailable") {
    writer_fixture fixture;
    fenced_writer writer(fixture.store, fixture.owner, fixture.metrics);
    fixture.store.set_down(true);
    const auto written = writer.write({{.key = "a", .value = "1"}}, {});
    REQUIRE_FALSE(written.has_value());
    CHECK(written.error() == fenced_writer::write_error::unavailable);
}

}  // namespace masticpass
