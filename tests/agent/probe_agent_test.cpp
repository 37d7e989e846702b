#include "agent/probe_agent.h"

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include <absl/synchronization/mutex.h>
#include <doctest/doctest.h>

#include "fakes/fake_backend_client.h"
#include "fakes/manual_clock.h"
#include "fakes/wait_until.h"

namespace masticpass {

namespace {

constexpr absl::Duration interval = absl::Milliseconds(1);

// Two servers, of which the first is assigned to this entry VM.
struct fixture {
    const vm_id own{"v1"};
    const vm_id other{"v2"};
    fakes::manual_clock time;
    fakes::fake_backend_client backends;
    server_directory directory;
    metrics_registry metrics;
    std::atomic<int> leaving_reports = 0;
    absl::Mutex mutex;
    // Results of the next probes by address. A further probe returns `not_probed`.
    std::map<std::string, std::deque<probe_result>> results;
    std::map<std::string, int> probes;
    std::unique_ptr<probe_agent> agent;

    fixture() {
        list(1, "b1");
        backends.set_prober([this](std::string_view address) { return next_result(std::string(address)); });
    }
    ~fixture() { agent.reset(); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    void list(std::int64_t index, const std::string& boot) {
        vm_listing listing{.index = index, .vms = {}};
        for (const vm_id& vm : {own, other}) {
            listing.vms.push_back({.vm = vm,
                                   .zone = zone_name("z"),
                                   .rack = {},
                                   .address = vm.value(),
                                   .boot = boot_id(boot),
                                   .pool = pool_name("p")});
        }
        directory.update(listing);
    }
    probe_result next_result(const std::string& address) {
        const absl::MutexLock lock(&mutex);
        ++probes[address];
        std::deque<probe_result>& next = results[address];
        if (next.empty()) {
            return probe_result::not_probed;
        }
        const probe_result result = next.front();
        next.pop_front();
        return result;
    }
    void start() {
        agent = std::make_unique<probe_agent>(
            backends, directory, time, metrics, interval,
            [this](const std::vector<server_state>&) { return std::set<vm_id>{own}; },
            [this] { ++leaving_reports; });
    }
    int probed(const vm_id& vm) {
        const absl::MutexLock lock(&mutex);
        return probes[vm.value()];
    }
    // Sets the results of the next probes. Returns once the agent has processed them, that is, when it has
    // begun the probe after the last of them. Advances the clock, because an unreachable server is probed
    // less often.
    void probe(const vm_id& vm, const std::deque<probe_result>& next) {
        int target = 0;
        {
            const absl::MutexLock lock(&mutex);
            results[vm.value()] = next;
            target = probes[vm.value()] + static_cast<int>(next.size()) + 1;
        }
        REQUIRE(fakes::wait_until([&] {
            time.advance(interval);
            return probed(vm) >= target;
        }));
    }
    bool is_unreachable(const vm_id& vm) const { return directory.find(vm)->unreachable; }
};

}  // namespace

// Guards against taking a server out of service after one lost probe, or forever.
TEST_CASE_FIXTURE(fixture, "two failed probes in a row make a server unreachable until one succeeds") {
    start();
    probe(own, {probe_result::unhealthy, probe_result::healthy, probe_result::unhealthy});
    CHECK_FALSE(is_unreachable(own));
    probe(own, {probe_result::unhealthy});
    CHECK(is_unreachable(own));
    CHECK(metrics.counter({"masticpass_probe_failures_total", "", ""}) == 3);
    probe(own, {probe_result::healthy});
    CHECK_FALSE(is_unreachable(own));
}

// Guards against counting a failed probe from before a restart against the restarted server.
TEST_CASE_FIXTURE(fixture, "failed probes are counted from zero after a new boot") {
    start();
    probe(own, {probe_result::unhealthy});
    list(2, "b2");
    probe(own, {probe_result::unhealthy});
    CHECK_FALSE(is_unreachable(own));
    probe(own, {probe_result::unhealthy});
    CHECK(is_unreachable(own));
}

// Guards against new work for a leaving server, and against a server that stays out of service after its
// restart.
TEST_CASE_FIXTURE(fixture, "a leaving server is reported once, and counts as leaving until its next boot") {
    start();
    probe(own, {probe_result::leaving, probe_result::leaving, probe_result::healthy});
    CHECK(directory.find(own)->leaving);
    CHECK(leaving_reports == 1);
    list(2, "b2");
    CHECK_FALSE(directory.find(own)->leaving);
    probe(own, {probe_result::leaving});
    CHECK(directory.find(own)->leaving);
    CHECK(leaving_reports == 2);
}

// Guards against every entry VM probing every server, and against a server that stays marked as unreachable
// after it was assigned to another entry VM.
TEST_CASE_FIXTURE(
    fixture,
    "a server that is assigned to another entry VM is probed only while it is marked as unreachable") {
    start();
    probe(own, {probe_result::healthy, probe_result::healthy});
    CHECK(probed(other) == 0);
    directory.set_unreachable(other, true);
    {
        const absl::MutexLock lock(&mutex);
        results[other.value()] = {probe_result::healthy};
    }
    CHECK(fakes::wait_until([&] { return !is_unreachable(other); }));
}

}  // namespace masticpass
