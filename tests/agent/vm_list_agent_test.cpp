#include "agent/vm_list_agent.h"

#include <atomic>

#include <doctest/doctest.h>

#include "fakes/wait_until.h"

namespace masticpass {

namespace {

// A VM list that returns the response set by the test.
class scripted_vm_list final : public vm_list {
public:
    using response = tl::expected<std::optional<vm_listing>, vm_list_error>;

    response list(const zone_name&, std::optional<std::int64_t>) override {
        const absl::MutexLock lock(&mutex_);
        ++calls_;
        return response_;
    }

    // Sets the response. Returns once the agent has processed it, that is, when the call after the one that
    // received it has begun.
    void set(const response& next) {
        int calls = 0;
        {
            const absl::MutexLock lock(&mutex_);
            response_ = next;
            calls = calls_;
        }
        REQUIRE(fakes::wait_until([&] {
            const absl::MutexLock lock(&mutex_);
            return calls_ >= calls + 2;
        }));
    }

private:
    absl::Mutex mutex_;
    response response_ ABSL_GUARDED_BY(mutex_) = std::nullopt;
    int calls_ ABSL_GUARDED_BY(mutex_) = 0;
};

vm_listing listing_at(std::int64_t index, const std::string& boot) {
    listed_vm vm;
    vm.vm = vm_id("v1");
    vm.boot = boot_id(boot);
    return {.index = index, .vms = {vm}};
}

struct fixture {
    scripted_vm_list list;
    metrics_registry metrics;
    std::atomic<int> changes = 0;
    std::atomic<std::int64_t> last_change = 0;
    vm_list_agent agent{list, absl::Milliseconds(1), metrics, [this](const vm_listing& listing) {
                            ++changes;
                            last_change = listing.index;
                        }};

    std::string boot() const { return agent.latest()->vms.at(0).boot.value(); }
    std::uint64_t errors() const {
        return metrics.counter({"masticpass_platform_errors_total", "call", "vm-list"});
    }
};

}  // namespace

// Guards against an old list restoring an old boot identity, and against reporting a list twice.
TEST_CASE_FIXTURE(fixture, "only a list with a greater index replaces the current one") {
    CHECK(agent.latest()->index == 0);
    list.set(listing_at(7, "b2"));
    CHECK(boot() == "b2");
    list.set(listing_at(6, "b1"));
    list.set(listing_at(7, "other"));
    list.set(std::nullopt);
    CHECK(boot() == "b2");
    CHECK(changes == 1);
    list.set(listing_at(8, "b3"));
    CHECK(boot() == "b3");
    CHECK(changes == 2);
    CHECK(last_change == 8);
}

// Guards against losing the known VMs while the platform does not respond.
TEST_CASE_FIXTURE(fixture, "after a failed call, which is counted, the current list is kept") {
    list.set(listing_at(7, "b2"));
    CHECK(errors() == 0);
    list.set(tl::make_unexpected(vm_list_error{"down"}));
    CHECK(errors() > 0);
    CHECK(boot() == "b2");
    list.set(listing_at(9, "b3"));
    CHECK(boot() == "b3");
}

// Guards against skipping a VM without a report, and against a log line for it at each poll.
TEST_CASE_FIXTURE(fixture, "a skipped VM is counted once") {
    for (const std::int64_t index : {7, 8, 9}) {
        vm_listing without{.index = index, .vms = {}};
        without.skipped = {{vm_id("v1"), "rack"}};
        list.set(without);
    }
    CHECK(changes == 3);
    CHECK(metrics.counter({"masticpass_vm_list_skipped_total", "missing", "rack"}) == 1);
}

}  // namespace masticpass
