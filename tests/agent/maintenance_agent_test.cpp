#include "agent/maintenance_agent.h"

#include <algorithm>
#include <memory>
#include <set>

#include <doctest/doctest.h>

#include "agent/allotment_json.h"
#include "agent/record_keys.h"
#include "decision/configuration/sample.h"
#include "fakes/fake_configuration_store.h"
#include "fakes/fake_vm_control.h"
#include "fakes/manual_clock.h"
#include "fakes/wait_until.h"

namespace masticpass {

namespace {

constexpr int maximum_unavailable = 2;

// The fleet of small_configuration(), with one entry VM in each zone that acknowledges every drain.
struct fixture {
    const incarnation_id self{"i1"};
    fakes::fake_configuration_store store;
    fakes::fake_vm_control control;
    fakes::manual_clock time;
    metrics_registry metrics;
    fleet_state fleet{zone_name("a"), metrics};
    std::atomic<bool> is_budget_kept = true;
    record_cache records{[this](const record& changed) { apply_record(changed); }};
    absl::Mutex mutex;
    vm_listing listing{.index = 1, .vms = {}};
    // VMs that every entry VM reports as unreachable.
    std::set<vm_id> unreachable;
    std::atomic<bool> acknowledges_drains = true;
    // How often the agent has read the heartbeats.
    std::atomic<int> heartbeat_reads = 0;
    fleet_observer observer{fleet, time, sources()};
    std::unique_ptr<maintenance_agent> agent;

    fixture() {
        for (const char* pool : {"dyeing", "weaving", "desk"}) {
            for (int number = 0; number < 4; ++number) {
                add_vm(pool, number);
            }
        }
        records.offer({"config", serialize(small_record()), 1});
    }

    fleet_sources sources() {
        return {[this] {
                    const absl::MutexLock lock(&mutex);
                    return std::make_shared<const vm_listing>(listing);
                },
                [this] { return heartbeats(); }, [](const allotment_member&) { return false; }};
    }

    void add_vm(const std::string& pool, int number) {
        listed_vm vm;
        vm.vm = vm_id(pool + std::to_string(number));
        vm.zone = zone_name(number % 2 == 0 ? "a" : "b");
        vm.rack = rack_name(vm.zone.value() + "1");
        vm.boot = boot_id("b1");
        vm.pool = pool_name(pool);
        listing.vms.push_back(vm);
        control.set_boot(vm.vm, vm.boot);
    }

    void apply_record(const record& changed) {
        fleet.apply(changed);
        if (!changed.key.starts_with(pool_key_prefix)) {
            return;
        }
        const auto pool = parse_pool_record(changed.value).value();
        const auto is_unavailable = [](const auto& vm) { return vm.second.phase != vm_phase::serving; };
        if (std::count_if(pool.vms.begin(), pool.vms.end(), is_unavailable) > maximum_unavailable) {
            is_budget_kept = false;
        }
    }

    std::vector<heartbeat> heartbeats() {
        ++heartbeat_reads;
        std::vector<heartbeat> result(2);
        for (std::size_t index = 0; index < result.size(); ++index) {
            result[index].entry = entry_id("e" + std::to_string(index + 1));
            result[index].incarnation = incarnation_id("i" + std::to_string(index + 1));
            result[index].zone = zone_name(index == 0 ? "a" : "b");
            const auto snapshot = fleet.pools();
            for (const auto& [pool, stored] : *snapshot) {
                for (const auto& [vm, state] : stored.record.vms) {
                    if (acknowledges_drains && !state.operation.empty()) {
                        result[index].drained.push_back({vm, state.operation});
                    }
                }
            }
            const absl::MutexLock lock(&mutex);
            for (const vm_id& vm : unreachable) {
                result[index].observations.push_back({vm, boot_id("b1"), server_condition::unreachable});
            }
        }
        return result;
    }

    void start() {
        for (const auto& [zone, member] : {std::pair("a", "1"), std::pair("b", "2")}) {
            const allotment_record record = {.epoch = 1,
                                             .members = {{entry_id(std::string("e") + member),
                                                          incarnation_id(std::string("i") + member), 1}}};
            fleet.apply({allotment_key(zone_name(zone)), serialize(record), 2});
        }
        REQUIRE(fleet.allotments().size() == 2);
        agent = std::make_unique<maintenance_agent>(self, store, control, records, fleet, observer, metrics,
                                                    [](const pool_name&) { return true; });
    }

    // Completes each started reboot, like the platform.
    void finish_reboots() {
        for (const reboot_request& request : control.started()) {
            const absl::MutexLock lock(&mutex);
            for (listed_vm& vm : listing.vms) {
                if (vm.vm == request.vm && vm.boot == boot_id("b1")) {
                    vm.boot = boot_id("b2");
                    ++listing.index;
                    control.set_boot(vm.vm, vm.boot);
                }
            }
        }
    }

    int serving_on(const char* boot) {
        int count = 0;
        const absl::MutexLock lock(&mutex);
        const auto snapshot = fleet.pools();
        for (const auto& [name, stored] : *snapshot) {
            for (const listed_vm& listed : listing.vms) {
                const auto vm = stored.record.vms.find(listed.vm);
                const bool is_serving =
                    vm != stored.record.vms.end() && vm->second.phase == vm_phase::serving;
                count += is_serving && listed.boot == boot_id(boot) ? 1 : 0;
            }
        }
        return count;
    }

    bool wave_completes() {
        return fakes::wait_until(
            [&] {
                finish_reboots();
                return serving_on("b2") == 8;
            },
            absl::Seconds(60));
    }
};

}  // namespace

// Guards against a wave that stops, repeats a reboot or exceeds the budget when requests or responses are
// lost or another entry VM writes the same records.
TEST_CASE_FIXTURE(fixture, "a wave reboots each VM once and within the budget, regardless of failed calls") {
    std::atomic<int> conflicts = 0;
    SUBCASE("no fault") {}
    SUBCASE("lost responses") {
        store.lose_responses(3);
        control.lose_responses(2);
    }
    SUBCASE("lost requests") {
        store.lose_requests(3);
        control.lose_requests(2);
    }
    SUBCASE("conflicts") {
        store.set_hook([&](std::string_view method, std::string_view key) {
            const std::string name(key);
            if (method == "compare_and_swap" && !store.value(name).empty() && conflicts < 4) {
                ++conflicts;
                store.put(name, store.value(name));
            }
        });
    }
    start();
    CHECK(wave_completes());
    CHECK(control.started().size() == 8);
    CHECK(is_budget_kept);
}

// Guards against a reboot that interrupts a request: a VM is rebooted only after the entry VMs of its zone
// have drained it.
TEST_CASE_FIXTURE(fixture, "a VM is not rebooted before its drain is acknowledged") {
    acknowledges_drains = false;
    start();
    const auto has_reserved_vm = [&] {
        const auto snapshot = fleet.pools();
        const fleet_state::pool_map& pools = *snapshot;
        const auto pool = pools.find(pool_name("dyeing"));
        return pool != pools.end() &&
               std::any_of(pool->second.record.vms.begin(), pool->second.record.vms.end(),
                           [](const auto& vm) { return vm.second.phase == vm_phase::reserved; });
    };
    REQUIRE(fakes::wait_until(has_reserved_vm));
    // Each round reads the heartbeats twice, so at least two rounds begin and end after the reservation.
    const int before = heartbeat_reads;
    REQUIRE(fakes::wait_until([&] { return heartbeat_reads >= before + 7; }));
    CHECK(control.requests().empty());
    acknowledges_drains = true;
    CHECK(wave_completes());
}

// Guards against reservations and moves by an entry VM that stops before it can complete them.
TEST_CASE_FIXTURE(fixture, "a stopping agent starts no moves and no drains") {
    start();
    REQUIRE(fakes::wait_until([&] { return fleet.pools()->size() == 3; }));
    agent->stop();
    static_cast<void>(agent->waves());
    const int writes = store.calls("compare_and_swap");
    agent->start_moves({{vm_id("desk0"), pool_name("desk"), pool_name("dyeing")}});
    const auto drained = agent->drain(vm_id("desk1"), operation_id("o1"));
    REQUIRE_FALSE(drained.has_value());
    CHECK(drained.error().code == operations_error_code::unavailable);
    CHECK(store.calls("compare_and_swap") == writes);
}

// Guards against a drain that exceeds the budget, and against an error when an operator repeats a drain.
TEST_CASE_FIXTURE(fixture, "an operator's drain respects the budget and is idempotent") {
    acknowledges_drains = false;
    start();
    REQUIRE(fakes::wait_until([&] { return fleet.pools()->size() == 3; }));
    const auto first = agent->drain(vm_id("desk0"), operation_id("o1"));
    REQUIRE(first.has_value());
    CHECK(first->pool == pool_name("desk"));
    CHECK(agent->drain(vm_id("desk0"), operation_id("o1")).has_value());
    // The budget permits one unavailable VM per zone.
    const auto second = agent->drain(vm_id("desk2"), operation_id("o2"));
    REQUIRE_FALSE(second.has_value());
    CHECK(second.error().code == operations_error_code::budget_exhausted);
    CHECK(agent->drain(vm_id("none"), operation_id("o3")).error().code == operations_error_code::not_found);
}

// Guards against reporting to an operator that a drain may have taken effect when the store has reported that
// it has not, and the reverse.
TEST_CASE_FIXTURE(fixture, "the error of a failed drain says whether it may have taken effect") {
    acknowledges_drains = false;
    start();
    REQUIRE(fakes::wait_until([&] { return fleet.pools()->size() == 3; }));
    const std::string key = pool_key(pool_name("desk"));
    operations_error_code expected = operations_error_code::unknown_outcome;
    std::string expected_text = "not confirmed";
    std::atomic<bool> is_triggered = false;
    SUBCASE("another entry VM writes first") {
        expected = operations_error_code::conflict;
        expected_text = "the record of the pool desk was changed first by the entry VM i9";
        store.set_hook([&](std::string_view method, std::string_view called) {
            if (method == "compare_and_swap" && called == key && !is_triggered.exchange(true)) {
                auto other = parse_pool_record(store.value(key)).value();
                other.last_change = change_id("i9.4");
                other.last_writer = incarnation_id("i9");
                store.put(key, serialize(other));
            }
        });
    }
    SUBCASE("the store is down") {
        expected = operations_error_code::unavailable;
        expected_text = "the store";
        store.set_down(true);
    }
    SUBCASE("the response is lost") {
        store.set_hook([&](std::string_view method, std::string_view called) {
            if (method == "compare_and_swap" && called == key && !is_triggered.exchange(true)) {
                store.lose_responses(1);
            }
        });
    }
    const auto drained = agent->drain(vm_id("desk0"), operation_id("o1"));
    REQUIRE_FALSE(drained.has_value());
    CHECK(drained.error().code == expected);
    CHECK(drained.error().message.find(expected_text) != std::string::npos);
}

// Guards against considering a VM failed too early, or forever after a temporary failure.
TEST_CASE_FIXTURE(fixture,
                  "a VM has failed when all entry VMs of its zone have reported it as unreachable for 10 s") {
    const vm_id vm("dyeing0");
    const auto observed = [&] { return observer.vms().at(vm); };
    CHECK(observed().last_probe_succeeded);
    unreachable = {vm};
    CHECK_FALSE(observed().last_probe_succeeded);
    time.advance(absl::Seconds(9));
    CHECK_FALSE(observed().failure_confirmed);
    time.advance(absl::Seconds(2));
    CHECK(observed().failure_confirmed);
    unreachable.clear();
    CHECK_FALSE(observed().failure_confirmed);
    unreachable = {vm};
    CHECK_FALSE(observed().failure_confirmed);
}

}  // namespace masticpass
