#ifndef MASTICPASS_TESTS_DECISION_MAINTENANCE_FLEET_SCHEDULE_H
#define MASTICPASS_TESTS_DECISION_MAINTENANCE_FLEET_SCHEDULE_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decision/maintenance/action_planner.h"

namespace masticpass {

// A guard that a schedule disables in the simulated store or platform, or in the input of the decision code,
// to show that the invariants detect it.
enum class disabled_guard {
    none,
    store_comparison,    // the store writes without comparing the revision
    reboot_condition,    // the platform reboots without comparing the boot identity
    observed_failures,   // agents do not observe that VMs are down
    drain_operation,     // acknowledgements count for any operation on the VM
    list_order,          // every VM list has the newest index
    departure_evidence,  // every source seems to have handed over the VMs that are incoming in the target
};

// One random schedule over the real decision code, with a simulated store, a simulated platform and several
// entry VMs that fail at random. The invariants are checked at every write, at every reboot and at the end.
class fleet_schedule {
public:
    fleet_schedule(std::uint64_t seed, disabled_guard guard);

    // Runs to the end or to the first violation and returns its description; empty if there is none. That
    // every wave ends is checked only if no guard is disabled.
    std::string run();

    int writes() const { return writes_; }
    int reboots() const { return reboots_; }
    int moves() const { return moves_; }

private:
    enum class power_state { up, down, terminated };
    struct simulated_vm {
        zone_name zone;
        rack_name rack;
        pool_name role;
        int boot = 1;
        power_state state = power_state::up;
        std::int64_t down_since = 0;
        // The step at which the VM returns; -1 if it never returns.
        std::int64_t returns_at = 0;
        bool keeps_boot = false;
        bool leaving = false;
    };
    struct pending_action {
        maintenance_action action;
        std::set<vm_id> down_when_decided;
    };
    struct entry_vm {
        incarnation_id incarnation;
        zone_name zone;
        std::int64_t sequence = 1;
        std::int64_t paused_until = 0;
        std::map<pool_name, stored_pool_record> known;
        std::map<vm_id, int> in_flight;
        std::deque<pending_action> pending;
    };
    using record_map = std::map<pool_name, stored_pool_record>;
    using list_map = std::map<vm_id, vm_observation>;

    int random_below(int count) { return static_cast<int>(random_() % static_cast<std::uint64_t>(count)); }
    bool random_percent(int percent) { return random_below(100) < percent; }
    // fleet_schedule.cpp: the sequence of steps.
    void create_fleet();
    void random_step();
    bool finish_waves_without_failures();
    bool waves_ended() const;
    std::string wave_state_text() const;

    // fleet_schedule_failures.cpp: changes by operators, and failures.
    void change_operations();
    void inject_failure();
    void replace_entry(entry_vm& entry);
    void replace_terminated(const vm_id& id, simulated_vm& vm);

    // fleet_schedule_entries.cpp: the input and the actions of the entry VMs.
    void simulate_serving(entry_vm& entry);
    void acknowledge(entry_vm& entry);
    void decide(entry_vm& entry, const pool_name& pool, bool stale);
    void execute(entry_vm& entry);
    maintenance_view make_view(const entry_vm& entry, bool stale);
    void forge_departures(maintenance_view& view) const;

    // fleet_schedule_platform.cpp: the simulated store, VM list and VM control.
    void advance();
    void list_vms();
    void write(const write_record& action, const std::set<vm_id>& down);
    void reboot(const reboot_vm& action);

    // fleet_schedule_checks.cpp: the invariants.
    void check_write(const pool_record& before, const pool_record& after, const std::set<vm_id>& down);
    void check_owners();
    void check_counts(const pool_record& record, const std::set<vm_id>& unavailable, int missing,
                      const std::string& event);
    void report_violation(const std::string& text);

    std::mt19937_64 random_;
    disabled_guard guard_;
    std::int64_t step_ = 1;
    absl::Time now_ = absl::FromUnixSeconds(1'700'000'000);
    std::map<vm_id, simulated_vm> vms_;
    std::vector<std::shared_ptr<const list_map>> vm_list_history_;
    std::vector<std::shared_ptr<const record_map>> store_history_;
    bool list_changed_ = true;
    bool store_down_ = false;
    std::int64_t revision_ = 10;
    std::map<pool_name, pool_limits> limits_;
    std::vector<declared_wave> waves_;
    std::vector<move_request> move_requests_;
    std::vector<entry_vm> entries_;
    std::set<incarnation_id> terminated_incarnations_;
    std::map<zone_name, std::set<incarnation_id>> senders_;
    std::map<std::pair<vm_id, operation_id>, std::set<incarnation_id>> acknowledged_;
    std::map<vm_id, std::set<incarnation_id>> acknowledged_any_operation_;
    std::string violation_;
    int incarnation_count_ = 0;
    int replacement_count_ = 0;
    int writes_ = 0;
    int reboots_ = 0;
    int moves_ = 0;
};

}  // namespace masticpass

#endif
