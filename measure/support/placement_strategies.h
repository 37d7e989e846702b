#ifndef MASTICPASS_MEASURE_SUPPORT_PLACEMENT_STRATEGIES_H
#define MASTICPASS_MEASURE_SUPPORT_PLACEMENT_STRATEGIES_H

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "decision/placement/demand_tracker.h"
#include "decision/placement/plan_placement.h"
#include "support/placement_simulation.h"

namespace masticpass::measure {

// Distributes VMs in proportion to the long-term means. Each pool gets at least one.
std::vector<int> proportional_sizes(const demand_trace& trace, int vms);

// Baseline: each pool keeps a fixed share of the fleet, so its number of spare VMs is fixed. No VM moves.
class fixed_spare final : public placement_strategy {
public:
    std::vector<int> initial_sizes(const demand_trace& trace, int vms) override;
    void observe(int second, const std::vector<double>& slots) override;
    std::vector<simulated_move> decide(int second, const std::vector<simulated_vm>& vms) override;
};

// Baseline: in each round, every pool gets the VMs for its mean demand in the last `rounds` rounds,
// multiplied by the headroom. The remaining VMs are in the spare pool.
class chase_demand final : public placement_strategy {
public:
    chase_demand(double headroom, std::size_t rounds) : headroom_(headroom), rounds_(rounds) {}

    std::vector<int> initial_sizes(const demand_trace& trace, int vms) override;
    void observe(int second, const std::vector<double>& slots) override;
    std::vector<simulated_move> decide(int second, const std::vector<simulated_vm>& vms) override;

private:
    double headroom_;
    std::size_t rounds_;
    int samples_ = 0;
    std::vector<double> slots_;
    // Mean demand of each service in each of the last rounds, in the order of the rounds.
    std::deque<std::vector<double>> means_;
};

// Bound: knows the drifting mean, distributes the whole fleet in proportion to it, and moves VMs instantly.
// No strategy whose moves take minutes can be expected to need a smaller fleet.
class ideal_spread final : public placement_strategy {
public:
    std::vector<int> initial_sizes(const demand_trace& trace, int vms) override;
    void observe(int second, const std::vector<double>& slots) override;
    std::vector<simulated_move> decide(int second, const std::vector<simulated_vm>& vms) override;
    int move_seconds() const override { return 0; }

private:
    const demand_trace* trace_ = nullptr;
};

// The placement decision of masticpass.
class planned_placement final : public placement_strategy {
public:
    planned_placement(const placement_deployment& deployment, placement_policy policy);

    std::vector<int> initial_sizes(const demand_trace& trace, int vms) override;
    void observe(int second, const std::vector<double>& slots) override;
    std::vector<simulated_move> decide(int second, const std::vector<simulated_vm>& vms) override;

private:
    double headroom_;
    demand_tracker tracker_;
    placement_planner planner_;
    std::vector<service_name> services_;
    std::vector<double> planned_slots_;
    // Name, zone and rack of each VM, which never change.
    std::vector<placement_vm> vms_;
    int buffer_vms_ = 0;
};

}  // namespace masticpass::measure

#endif
