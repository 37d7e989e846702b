#ifndef MASTICPASS_TESTS_DECISION_PLACEMENT_RANDOM_SCHEDULE_H
#define MASTICPASS_TESTS_DECISION_PLACEMENT_RANDOM_SCHEDULE_H

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "decision/placement/plan_placement.h"

namespace masticpass {

// A fault injected into the plans, which the invariants must detect.
enum class injected_fault {
    none,
    second_target_for_a_vm,
    minimum_ignored,
    budget_ignored,
    quota_ignored,
    vm_moved_back,
    changed_pool_not_assessed,
    no_moves,
};

// Runs the real planner on a random fleet with demand changes, failures, and moves that take time or are
// cancelled. The seed determines the schedule.
class random_schedule {
public:
    random_schedule(std::uint64_t seed, injected_fault fault);

    // Runs all rounds. Returns the first violated invariant; empty if there is none.
    std::string run();

private:
    struct last_move {
        pool_name from;
        absl::Time at;
    };

    int random_between(int low, int high);
    placement_pool& find_pool(const pool_name& name);
    void build_fleet();
    void change_inputs();
    void advance_vms();
    placement_plan plan_and_compare();
    void inject_fault(placement_plan& plan);
    void check_and_apply(const placement_plan& plan);
    void check_move_back(const planned_move& move, const placement_pool& to);
    void check_donor(const placement_pool& before, const placement_pool& after);
    void check_quotas(const std::vector<placement_pool>& before);
    void check_losses();
    bool can_leave_spare_pool(std::size_t index, const placement_pool& to) const;
    bool all_vms_serve() const;
    void run_round();
    void expect(bool holds, const std::string& invariant);

    std::mt19937_64 random_;
    injected_fault fault_;
    placement_policy policy_;
    std::vector<team_quota> quotas_;
    std::vector<placement_pool> pools_;
    placement_planner planner_;
    placement_history history_;
    std::map<std::string, last_move> last_moves_;
    absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
    std::string violation_;
};

}  // namespace masticpass

#endif
