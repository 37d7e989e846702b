#include "jobs/job_record_writer.h"

#include <doctest/doctest.h>

#include "fakes/fake_configuration_store.h"
#include "jobs/job_keys.h"
#include "jobs/owner_keys.h"

namespace masticpass {

namespace {

struct partitions_fixture {
    fenced_writer::owner_key take_over() { return create_owner_keys(store); }

    static std::vector<record_batch::update> make_updates(const std::string& record) {
        constexpr int jobs = 200;
        std::vector<record_batch::update> updates;
        updates.reserve(jobs);
        for (int number = 0; number < jobs; ++number) {
            updates.push_back(
                {.job = job_id(std::to_string(number)), .queue = queue_name("q"), .record = record});
        }
        return updates;
    }

    int count_stored(const std::string& record) {
        int count = 0;
        const auto records = store.read_prefix(job_keys::queue_record_prefix(queue_name("q")));
        for (const store_entry& entry : records->entries) {
            count += entry.value == record ? 1 : 0;
        }
        return count;
    }

    fakes::fake_configuration_store store;
    metrics_registry metrics;
};

}  // namespace

// Guards against partitions of an earlier owner that write concurrently with those of its successor.
TEST_CASE("no partition of an earlier owner writes after a takeover") {
    partitions_fixture fixture;
    const auto first = fixture.take_over();
    job_record_writer earlier(fixture.store, 0, first, fixture.metrics);
    REQUIRE(earlier.write(partitions_fixture::make_updates("1")).has_value());
    CHECK(fixture.count_stored("1") == 200);
    fixture.store.expire_lease(first.lease);
    job_record_writer next(fixture.store, 0, fixture.take_over(), fixture.metrics);
    REQUIRE(next.write(partitions_fixture::make_updates("2")).has_value());
    const auto rejected = earlier.write(partitions_fixture::make_updates("3"));
    REQUIRE_FALSE(rejected.has_value());
    CHECK(rejected.error() == fenced_writer::write_error::superseded);
    CHECK(fixture.count_stored("2") == 200);
}

// Guards against records that revert because a transaction without a response takes effect after later ones.
TEST_CASE("a delayed transaction of a partition does not overwrite later ones") {
    partitions_fixture fixture;
    job_record_writer writer(fixture.store, 0, fixture.take_over(), fixture.metrics);
    // Delays all attempts of all partitions.
    fixture.store.delay_requests(3 * static_cast<int>(job_record_writer::partition_count));
    CHECK_FALSE(writer.write(partitions_fixture::make_updates("1")).has_value());
    REQUIRE(writer.write(partitions_fixture::make_updates("2")).has_value());
    fixture.store.deliver_delayed();
    CHECK(fixture.count_stored("2") == 200);
}

}  // namespace masticpass
