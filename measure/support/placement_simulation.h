#ifndef MASTICPASS_MEASURE_SUPPORT_PLACEMENT_SIMULATION_H
#define MASTICPASS_MEASURE_SUPPORT_PLACEMENT_SIMULATION_H

#include <vector>

#include "support/placement_deployment.h"

namespace masticpass::measure {

// One VM of the simulated fleet.
struct simulated_vm {
    int zone = 0;
    int rack = 0;
    int pool = 0;
    // The second from which the VM serves its pool. It is in the future while the VM moves.
    int ready_at = 0;
    bool failed = false;

    bool is_moving(int second) const { return ready_at > second; }
    bool is_serving(int second) const { return !failed && ready_at <= second; }
};

struct simulated_move {
    int vm = 0;
    int to = 0;
};

constexpr int round_seconds = 60;

// Chooses moves once per round. Pool n serves service n. Pool 0 is also the spare pool.
class placement_strategy {
public:
    placement_strategy() = default;
    placement_strategy(const placement_strategy&) = delete;
    placement_strategy& operator=(const placement_strategy&) = delete;
    virtual ~placement_strategy() = default;

    // The number of VMs of each pool at the start. Their sum is `vms`.
    virtual std::vector<int> initial_sizes(const demand_trace& trace, int vms) = 0;
    // Reports the demand of each service in slots, averaged over the 5 s that end at `second`.
    virtual void observe(int second, const std::vector<double>& slots) = 0;
    virtual std::vector<simulated_move> decide(int second, const std::vector<simulated_vm>& vms) = 0;
    // Seconds for which a moved VM serves neither pool, because it drains and reboots.
    virtual int move_seconds() const { return 180; }
};

struct placement_result {
    int vms = 0;
    // Share of the offered worth that was not refused because of its wait.
    double on_time = 0;
    double mean_wait_seconds = 0;
    int moves = 0;
    // VM-hours beyond those that the drifting mean would need if every slot were fully used.
    double spare_vm_hours = 0;
};

// Simulates the trace with a fleet of `vms` VMs. Each service has one queue for its whole pool, which
// corresponds to ideal spill-over between zones. The queue is served first come, first served, and work that
// would wait longer than the maximum wait of the deployment is refused. These rules are the same for every
// strategy.
placement_result simulate(const placement_deployment& deployment, const demand_trace& trace, int vms,
                          placement_strategy& strategy);

}  // namespace masticpass::measure

#endif
