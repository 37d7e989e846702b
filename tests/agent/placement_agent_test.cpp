#include "agent/placement_agent.h"

#include <atomic>
#include <memory>
#include <string>

#include <doctest/doctest.h>

#include "agent/record_keys.h"
#include "decision/configuration/sample.h"
#include "fakes/fake_configuration_store.h"
#include "fakes/fake_vm_control.h"
#include "fakes/manual_clock.h"
#include "fakes/wait_until.h"

namespace masticpass {

namespace {

// Longer than a shortage must last before VMs are moved.
constexpr absl::Duration long_shortage = absl::Minutes(4);

// The pools of small_configuration(). The pool "weaving" has two VMs and needs three; the spare pool "desk"
// has four and needs two.
struct fixture {
    fakes::fake_configuration_store store;
    fakes::fake_vm_control control;
    fakes::manual_clock time;
    metrics_registry metrics;
    fleet_state fleet{zone_name("a"), metrics};
    record_cache records{[this](const record& changed) { fleet.apply(changed); }};
    std::atomic<bool> is_owner = false;
    vm_listing listing{.index = 1, .vms = {}};
    std::atomic<int> plans = 0;
    fleet_observer observer{fleet,
                            time,
                            {[this] { return std::make_shared<const vm_listing>(listing); },
                             [] { return heartbeats(); }, [](const allotment_member&) { return false; }}};
    std::unique_ptr<maintenance_agent> maintenance;
    std::unique_ptr<placement_agent> agent;

    void start(fleet_configuration configuration) {
        configuration.waves.clear();
        configuration.pools.at(pool_name("weaving")).minimum_vms = 3;
        configuration_change change = make_change("first", 0);
        change.set = configuration;
        const auto declared = apply_change({}, change, {}, incarnation_id("one")).value().record;
        offer("config", serialize(declared));
        offer_pool("dyeing", 4);
        offer_pool("weaving", 2);
        offer_pool("desk", 4);
        maintenance =
            std::make_unique<maintenance_agent>(incarnation_id("i1"), store, control, records, fleet,
                                                observer, metrics, [](const pool_name&) { return false; });
        agent = std::make_unique<placement_agent>(
            fleet, *maintenance, time, metrics,
            placement_agent::sources{[] { return std::vector<heartbeat>(); }, [this] { return observe(); },
                                     [this] { return is_owner.load(); }});
    }
    // The heartbeats of one entry VM in each zone, which report no unreachable VM.
    static std::vector<heartbeat> heartbeats() {
        std::vector<heartbeat> result(2);
        result[0].zone = zone_name("a");
        result[1].zone = zone_name("b");
        return result;
    }
    // Counts the plans: the agent reads the VMs once per plan.
    std::map<vm_id, vm_observation> observe() {
        ++plans;
        std::map<vm_id, vm_observation> result;
        for (const listed_vm& vm : listing.vms) {
            result[vm.vm].last_probe_succeeded = true;
        }
        return result;
    }
    // Lets a shortage last long enough for a move. Returns once the agent has completed a plan at the later
    // time.
    void pass_time() {
        time.advance(long_shortage);
        const int before = plans;
        REQUIRE(fakes::wait_until([&] {
            time.advance(absl::Milliseconds(50));
            return plans >= before + 2;
        }));
    }
    bool has_planned(int moves) const {
        const std::string line = "\nmasticpass_planned_moves " + std::to_string(moves) + "\n";
        return fakes::wait_until(
            [&] { return ("\n" + metrics.exposition()).find(line) != std::string::npos; });
    }
    void offer(const std::string& key, const std::string& value) {
        const auto revision = store.put(key, value);
        records.offer({key, value, static_cast<std::uint64_t>(revision)});
    }
    void offer_pool(const std::string& pool, int vms) {
        pool_record record;
        record.pool = pool_name(pool);
        for (int number = 0; number < vms; ++number) {
            pool_vm& vm = record.vms[vm_id(pool + std::to_string(number))];
            vm.zone = zone_name(number % 2 == 0 ? "a" : "b");
            vm.rack = rack_name(vm.zone.value() + "1");
            listed_vm listed;
            listed.vm = vm_id(pool + std::to_string(number));
            listed.zone = vm.zone;
            listed.rack = vm.rack;
            listed.boot = boot_id("b1");
            listed.pool = record.pool;
            listing.vms.push_back(listed);
        }
        offer(pool_key(record.pool), serialize(record));
    }
    // Number of VMs of the spare pool that are moving to "weaving".
    int moving() const {
        int count = 0;
        const auto record = parse_pool_record(store.value(pool_key(pool_name("desk")))).value();
        for (const auto& [id, vm] : record.vms) {
            count += vm.phase == vm_phase::moving_out && vm.other_pool == pool_name("weaving") ? 1 : 0;
        }
        return count;
    }
};

}  // namespace

// Guards against moves by an entry VM that is not the owner of placement, and against a new owner that waits
// again although it has observed the shortage.
TEST_CASE_FIXTURE(fixture, "every entry VM plans, but only the owner starts moves") {
    fleet_configuration configuration = small_configuration();
    // Without services, no demand has to be learned.
    configuration.services.clear();
    start(configuration);
    REQUIRE(has_planned(0));
    pass_time();
    REQUIRE(has_planned(1));
    CHECK(moving() == 0);
    is_owner = true;
    REQUIRE(fakes::wait_until([&] {
        time.advance(absl::Milliseconds(50));
        return moving() > 0;
    }));
    CHECK(moving() == 1);
    CHECK(control.requests().empty());
}

// Guards against taking a VM from a pool whose demand is not known yet.
TEST_CASE_FIXTURE(fixture, "no move is planned before the demand of every pool is known") {
    is_owner = true;
    start(small_configuration());
    pass_time();
    pass_time();
    CHECK(moving() == 0);
    CHECK(metrics.exposition().find("masticpass_planned_moves") == std::string::npos);
}

}  // namespace masticpass
