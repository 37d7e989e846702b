#include <csignal>
#include <map>
#include <thread>

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include "agent/record_keys.h"
#include "decision/maintenance/move_transition.h"
#include "fakes/wait_until.h"
#include "process/test_fleet.h"
#include "store/etcd_gateway_store.h"

namespace masticpass::process_test {

namespace {

using fakes::wait_until;
using pool_map = std::map<pool_name, stored_pool_record>;

const pool_name source_pool("proofs");
const pool_name target_pool("looms");
const vm_id moved_vm("vm-a1");
constexpr int max_unavailable = 1;

std::string stored_key(const pool_name& pool) {
    return absl::StrCat(std::string(store_namespace), pool_key(pool));
}

// Returns all pool records from one consistent read; empty if the read fails.
pool_map read_pools(etcd_gateway_store& store) {
    const auto read =
        store.read_prefix(absl::StrCat(std::string(store_namespace), std::string(pool_key_prefix)));
    pool_map result;
    if (read) {
        for (const store_entry& entry : read->entries) {
            const pool_record record = parse_pool_record(entry.value).value();
            result[record.pool] = {entry.revision, record};
        }
    }
    return result;
}

bool is_in_phase(const pool_map& pools, const pool_name& pool, vm_phase phase) {
    const auto stored = pools.find(pool);
    const auto vm = stored == pools.end() ? std::map<vm_id, pool_vm>::const_iterator()
                                          : stored->second.record.vms.find(moved_vm);
    return stored != pools.end() && vm != stored->second.record.vms.end() && vm->second.phase == phase;
}

// Returns the first violation in one consistent read of the pool records; empty if there is none. A pool owns
// the VMs that it lists, but an incoming entry counts only if no other pool lists the VM.
std::string find_violation(const pool_map& pools, const std::vector<std::string>& vms) {
    std::map<std::string, int> owner_counts;
    std::map<std::string, int> incoming_counts;
    for (const auto& [pool, stored] : pools) {
        int unavailable = 0;
        for (const auto& [id, vm] : stored.record.vms) {
            ++(vm.phase == vm_phase::incoming ? incoming_counts : owner_counts)[id.value()];
            const bool is_member = vm.phase != vm_phase::incoming && !vm.joining;
            unavailable += is_member && vm.phase != vm_phase::serving ? 1 : 0;
        }
        if (unavailable > max_unavailable) {
            return absl::StrCat(unavailable, " VMs unavailable: ", serialize(stored.record));
        }
    }
    for (const std::string& vm : vms) {
        if (owner_counts[vm] != 1 && (owner_counts[vm] != 0 || incoming_counts[vm] != 1)) {
            return absl::StrCat(vm, " has ", owner_counts[vm], " owners and ", incoming_counts[vm],
                                " incoming entries");
        }
    }
    return {};
}

// Checks the pool records continuously on its own thread.
class record_monitor {
public:
    explicit record_monitor(const test_fleet& fleet)
        : fleet_(fleet), store_(fleet.platform_address()), thread_([this] {
              while (!is_stopping_) {
                  check_records();
                  absl::SleepFor(absl::Milliseconds(2));
              }
          }) {}
    ~record_monitor() {
        is_stopping_ = true;
        thread_.join();
    }
    record_monitor(const record_monitor&) = delete;
    record_monitor& operator=(const record_monitor&) = delete;

    int check_count() const { return check_count_; }
    // Returns the first violation; empty if there was none.
    std::string violation() const {
        const absl::MutexLock lock(&mutex_);
        return violation_;
    }

private:
    void check_records() {
        const pool_map pools = read_pools(store_);
        if (pools.empty()) {
            return;
        }
        ++check_count_;
        const std::string found = find_violation(pools, fleet_.vms());
        const absl::MutexLock lock(&mutex_);
        violation_ = violation_.empty() ? found : violation_;
    }

    const test_fleet& fleet_;
    etcd_gateway_store store_;
    std::atomic<int> check_count_ = 0;
    std::atomic<bool> is_stopping_ = false;
    mutable absl::Mutex mutex_;
    std::string violation_;
    std::thread thread_;
};

// Writes the first step of the move, as the placement agent does when a move is due. The agent itself starts
// a move only after 3 min of shortage that follow 8 min of known demand, and no setting shortens these times.
void start_move_in_store(etcd_gateway_store& store) {
    const pool_map pools = read_pools(store);
    const stored_pool_record& stored = pools.at(source_pool);
    const incarnation_id actor("placement-of-the-test");
    auto started = start_move(stored.record, moved_vm, target_pool,
                              {operation_id("move-of-the-test"), actor, absl::Now()},
                              {.budget = {.max_unavailable = max_unavailable}, .minimum_vms = 1}, {});
    REQUIRE(started.has_value());
    started->last_change = change_id("change-of-the-test");
    started->last_writer = actor;
    REQUIRE(
        store.compare_and_swap(stored_key(source_pool), stored.revision, serialize(*started), lease_id::none)
            .has_value());
}

}  // namespace

// Guards against a move that leaves a VM in no pool or in two, exceeds the budget of the source pool during a
// wave, or never ends, when the entry VM that carries it out is killed between two steps.
TEST_CASE("a move ends after the acting entry VM is killed and the VM has one owner at all times") {
    pool_name acting_pool = source_pool;
    vm_phase awaited_phase = vm_phase::incoming;
    SUBCASE("when the target has an incoming entry for the VM") {}
    SUBCASE("when the target reboots the VM") {
        acting_pool = target_pool;
        awaited_phase = vm_phase::acting;
    }
    test_fleet fleet;
    fleet.start_serving();
    const std::string acting_entry = fleet.acting_entry(acting_pool.value());
    const std::string other = fleet.other_than(acting_entry);
    fleet.declare_sections(other,
                           "pool/looms: {team: studio, zones: [zone-a, zone-b], spare: true, minimum_vms: 0, "
                           "budget: {max_unavailable: 1}}\n");
    etcd_gateway_store store(fleet.platform_address());
    REQUIRE(wait_until([&] { return read_pools(store).size() == 2; }));
    const record_monitor monitor(fleet);
    const auto caller = fleet.start_caller({"--seconds", "6", "--once-share", "0.5"});
    start_move_in_store(store);
    fleet.declare_wave(other, "autumn");

    REQUIRE(wait_until([&] { return is_in_phase(read_pools(store), target_pool, awaited_phase); }));
    fleet.process(acting_entry).send_signal(SIGKILL);

    REQUIRE(wait_until([&] { return is_in_phase(read_pools(store), target_pool, vm_phase::serving); }));
    REQUIRE(wait_until([&] { return read_pools(store).at(source_pool).record.departures.empty(); }));
    REQUIRE(wait_until([&] { return fleet.wave_status(other, "autumn") == "ended"; }));
    for (const Json::Value& vm : fleet.list_vms()) {
        const bool is_moved = vm["vm"].asString() == moved_vm.value();
        REQUIRE(vm["pool"].asString() == (is_moved ? target_pool : source_pool).value());
    }
    REQUIRE(monitor.check_count() > 10);
    REQUIRE(monitor.violation() == "");
    const Json::Value caller_counters = test_fleet::wait_for_counters(*caller);
    REQUIRE(caller_counters["complete"].asInt() > 0);
    REQUIRE(caller_counters["incomplete"].asInt() == 0);
    fleet.require_backend_invariants();
}

}  // namespace masticpass::process_test
