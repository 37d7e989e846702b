#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

#include <absl/strings/match.h>
#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include "fakes/wait_until.h"
#include "process/test_fleet.h"

namespace masticpass::process_test {

namespace {

using fakes::wait_until;

// Polls the platform's VM list on its own thread. The platform knows which VMs are down, regardless of the
// view of the entry VMs. A VM counts as down while it is not live.
class budget_monitor {
public:
    explicit budget_monitor(const test_fleet& fleet)
        : fleet_(fleet), thread_([this] {
              while (!is_stopping_) {
                  observe();
                  absl::SleepFor(absl::Milliseconds(10));
              }
          }) {}
    ~budget_monitor() {
        is_stopping_ = true;
        thread_.join();
    }
    budget_monitor(const budget_monitor&) = delete;
    budget_monitor& operator=(const budget_monitor&) = delete;

    // Returns the maximum number of VMs that were down in one list.
    int maximum_down() const { return maximum_down_; }
    int down_now() const { return down_now_; }
    void wait_until_down() const {
        REQUIRE(wait_until([this] { return down_now_ > 0; }));
    }

private:
    void observe() {
        int down = 0;
        for (const Json::Value& vm : fleet_.list_vms()) {
            down += vm["state"].asString() == "live" ? 0 : 1;
        }
        down_now_ = down;
        maximum_down_ = std::max(maximum_down_.load(), down);
    }

    const test_fleet& fleet_;
    std::atomic<int> maximum_down_ = 0;
    std::atomic<int> down_now_ = 0;
    std::atomic<bool> is_stopping_ = false;
    std::thread thread_;
};

// Requires that the wave ends, that at most one VM was down at a time, and that each VM was rebooted once.
// The stand-in's boot identities end with the number of the boot, which starts at 1.
void require_wave_ends(const test_fleet& fleet, const std::string& entry, const budget_monitor& monitor) {
    REQUIRE(wait_until([&] { return fleet.wave_status(entry, "autumn") == "ended"; }));
    REQUIRE(monitor.maximum_down() == 1);
    for (const Json::Value& vm : fleet.list_vms()) {
        INFO(vm.toStyledString());
        REQUIRE(absl::EndsWith(vm["boot_id"].asString(), "-boot-2"));
    }
}

int count_rebooted(const test_fleet& fleet) {
    int count = 0;
    for (const Json::Value& vm : fleet.list_vms()) {
        count += absl::EndsWith(vm["boot_id"].asString(), "-boot-1") ? 0 : 1;
    }
    return count;
}

// Returns the VM that does not serve according to the pool record that the entry VM shows; empty if all
// serve.
std::string disrupted_vm(const test_fleet& fleet, const std::string& entry) {
    const Json::Value pool = fleet.operations(entry).show_pool(pool_name("proofs")).value();
    for (const Json::Value& vm : pool["vms"]) {
        if (vm["phase"].asString() != "serving") {
            return vm["vm"].asString();
        }
    }
    return {};
}

void require_complete_answers(const Json::Value& caller_counters) {
    REQUIRE(caller_counters["complete"].asInt() > 0);
    REQUIRE(caller_counters["incomplete"].asInt() == 0);
}

void require_nothing_lost(const Json::Value& caller_counters) {
    REQUIRE(caller_counters["complete"].asInt() > 0);
    REQUIRE(caller_counters["complete"].asInt() == caller_counters["sent"].asInt());
    REQUIRE(caller_counters["resent"].asInt() == 0);
}

}  // namespace

// Guards against a wave that stops, or exceeds its budget, when the entry VM that carries it out is killed.
TEST_CASE("a wave ends within its budget after the acting entry VM is killed") {
    test_fleet fleet;
    fleet.start_serving();
    const budget_monitor monitor(fleet);
    const std::string acting_entry = fleet.acting_entry();
    const std::string other = fleet.other_than(acting_entry);
    const auto caller = fleet.start_caller({"--seconds", "8", "--once-share", "1"});
    fleet.declare_wave(other, "autumn");
    monitor.wait_until_down();
    fleet.process(acting_entry).send_signal(SIGKILL);
    require_wave_ends(fleet, other, monitor);
    require_complete_answers(test_fleet::wait_for_counters(*caller));
    fleet.require_backend_invariants();
}

// Guards against further reboots, and against callers that lose requests, while the store is down and no
// reservation can be written.
TEST_CASE("a wave pauses while the store is down, serving continues, and the wave ends afterwards") {
    test_fleet fleet;
    fleet.start_serving();
    const budget_monitor monitor(fleet);
    const std::string entry = fleet.acting_entry();
    fleet.declare_wave(entry, "autumn");
    monitor.wait_until_down();
    fleet.control("", "/control/faults", json_object("store_down", true));
    // The VM that is down uses up the budget, so no other reservation was written before the outage.
    REQUIRE(count_rebooted(fleet) == 0);
    const auto caller = fleet.start_caller({"--seconds", "4"});
    const auto refused =
        fleet.operations(entry).set_wave_state(wave_name("autumn"), "paused", "test", change_id("p"));
    REQUIRE(!refused);
    REQUIRE(refused.error().code == operations_error_code::unavailable);
    require_nothing_lost(test_fleet::wait_for_counters(*caller));
    REQUIRE(count_rebooted(fleet) == 1);
    REQUIRE(monitor.down_now() == 0);
    fleet.control("", "/control/faults", json_object("store_down", false));
    require_wave_ends(fleet, entry, monitor);
    fleet.require_backend_invariants();
}

// Guards against a step that is carried out twice because the response to its write was lost.
TEST_CASE("a wave ends within its budget although store and reboot responses are lost") {
    test_fleet fleet;
    fleet.start_serving();
    const budget_monitor monitor(fleet);
    const std::string entry = fleet.acting_entry();
    fleet.control("", "/control/faults", json_object("lose_write_responses", 1));
    fleet.declare_wave(entry, "autumn");
    REQUIRE((*fleet.operations(entry).status())["configuration_revision"].asInt() == 2);
    fleet.control("", "/control/faults", json_object("lose_write_responses", 10));
    fleet.control("", "/control/faults", json_object("lose_reboot_responses", 2));
    const auto caller = fleet.start_caller({"--seconds", "5"});
    require_wave_ends(fleet, entry, monitor);
    require_nothing_lost(test_fleet::wait_for_counters(*caller));
    fleet.require_backend_invariants();
}

// Guards against an entry VM that resumes after a pause with an outdated view and reboots a second VM, or the
// same VM again.
TEST_CASE("an entry VM that was paused during a wave exceeds no budget when it resumes") {
    test_fleet fleet;
    fleet.start_serving();
    const budget_monitor monitor(fleet);
    const std::string acting_entry = fleet.acting_entry();
    const std::string other = fleet.other_than(acting_entry);
    const auto caller = fleet.start_caller({"--seconds", "6", "--once-share", "1"});
    fleet.declare_wave(other, "autumn");
    monitor.wait_until_down();
    fleet.process(acting_entry).send_signal(SIGSTOP);
    const std::string first = disrupted_vm(fleet, other);
    // The other entry VMs take over: they return the VM to service and reserve another one.
    REQUIRE(wait_until([&] {
        const std::string now = disrupted_vm(fleet, other);
        return !now.empty() && now != first;
    }));
    fleet.process(acting_entry).send_signal(SIGCONT);
    require_wave_ends(fleet, other, monitor);
    require_wave_ends(fleet, acting_entry, monitor);
    require_complete_answers(test_fleet::wait_for_counters(*caller));
    fleet.require_backend_invariants();
}

}  // namespace masticpass::process_test
