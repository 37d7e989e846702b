#include "agent/vm_list_agent.h"

#include <atomic>

#include <doctest/doctest.h>

#include "fakes/wait_until.h"

namespace masticpass {

namespace {

// Answers each call with a newer list, in which one VM was left out.
class skipping_list final : public vm_list {
public:
    tl::expected<std::optional<vm_listing>, vm_list_error> list(const zone_name&,
                                                                std::optional<std::int64_t>) override {
        vm_listing listing{.index = ++calls, .vms = {}};
        listing.skipped = {{vm_id("v1"), "rack"}};
        return listing;
    }
    std::atomic<std::int64_t> calls = 0;
};

}  // namespace

// Guards against a VM that is left out unnoticed, and against a log line for it at each poll.
TEST_CASE("a VM that is left out of the list is counted once") {
    skipping_list list;
    metrics_registry metrics;
    std::atomic<int> changes = 0;
    const vm_list_agent agent(list, absl::Milliseconds(5), metrics, [&](const vm_listing&) { ++changes; });
    REQUIRE(fakes::wait_until([&] { return changes >= 3; }));
    CHECK(metrics.counter({"masticpass_vm_list_skipped_total", "missing", "rack"}) == 1);
}

}  // namespace masticpass
