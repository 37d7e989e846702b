#include "support/placement_simulation.h"

#include <algorithm>

namespace masticpass::measure {

namespace {

constexpr int slots_per_vm = 8;
constexpr int vms_per_rack = 4;
constexpr int sample_seconds = 5;

std::vector<simulated_vm> build_fleet(const placement_deployment& deployment, const std::vector<int>& sizes,
                                      int vms) {
    std::vector<simulated_vm> fleet(static_cast<std::size_t>(vms));
    const int racks_per_zone = std::max(1, vms / deployment.zones / vms_per_rack);
    int pool = 0;
    int remaining = sizes[0];
    for (int index = 0; index < vms; ++index) {
        while (remaining == 0) {
            remaining = sizes[static_cast<std::size_t>(++pool)];
        }
        --remaining;
        auto& vm = fleet[static_cast<std::size_t>(index)];
        vm.zone = index % deployment.zones;
        // Consecutive VMs are in different racks, so that each pool is evenly spread at the start.
        vm.rack = vm.zone * racks_per_zone + (index / deployment.zones) % racks_per_zone;
        vm.pool = pool;
    }
    return fleet;
}

class simulation {
public:
    simulation(const placement_deployment& deployment, const demand_trace& trace, int vms,
               placement_strategy& strategy)
        : deployment_(deployment),
          trace_(trace),
          strategy_(strategy),
          fleet_(build_fleet(deployment, strategy.initial_sizes(trace, vms), vms)),
          services_(static_cast<std::size_t>(trace.services())) {
        result_.vms = vms;
    }

    placement_result run() {
        std::vector<double> demand_sample(services_.size());
        for (int second = 0; second < demand_trace::seconds; ++second) {
            apply_failures(second);
            if (second % round_seconds == 0) {
                update_means(second);
                decide(second);
            }
            if (second >= next_vm_ready_at_) {
                update_capacity(second);
            }
            serve(second, demand_sample);
            if ((second + 1) % sample_seconds == 0) {
                strategy_.observe(second + 1, demand_sample);
                std::fill(demand_sample.begin(), demand_sample.end(), 0.0);
            }
        }
        result_.on_time = 1 - late_worth_ / offered_worth_;
        result_.mean_wait_seconds = total_wait_ / offered_slots_;
        return result_;
    }

private:
    struct service_state {
        double mean = 0;
        double capacity = 0;
        double backlog = 0;
    };

    void apply_failures(int second) {
        const auto set_failed = [&](bool failed, auto matches) {
            for (auto& vm : fleet_) {
                if (matches(vm)) {
                    vm.failed = failed;
                }
            }
            update_capacity(second);
        };
        const auto in_rack = [](const simulated_vm& vm) { return vm.rack == 0; };
        const auto in_zone = [](const simulated_vm& vm) { return vm.zone == 1; };
        if (second == trace_.rack_lost_at() || second == trace_.rack_restored_at()) {
            set_failed(second == trace_.rack_lost_at(), in_rack);
        }
        if (second == trace_.zone_lost_at() || second == trace_.zone_restored_at()) {
            set_failed(second == trace_.zone_lost_at(), in_zone);
        }
    }

    void update_means(int second) {
        double needed = 0;
        for (std::size_t index = 0; index < services_.size(); ++index) {
            services_[index].mean = trace_.drifting_mean(static_cast<int>(index), second);
            needed += services_[index].mean / slots_per_vm;
        }
        result_.spare_vm_hours += (static_cast<double>(fleet_.size()) - needed) * round_seconds / 3600;
    }

    void decide(int second) {
        for (const auto& move : strategy_.decide(second, fleet_)) {
            auto& vm = fleet_[static_cast<std::size_t>(move.vm)];
            vm.pool = move.to;
            vm.ready_at = second + strategy_.move_seconds();
            ++result_.moves;
        }
        update_capacity(second);
    }

    void update_capacity(int second) {
        next_vm_ready_at_ = demand_trace::seconds;
        for (auto& service : services_) {
            service.capacity = 0;
        }
        for (const auto& vm : fleet_) {
            if (vm.is_serving(second)) {
                services_[static_cast<std::size_t>(vm.pool)].capacity += slots_per_vm;
            } else if (vm.is_moving(second)) {
                next_vm_ready_at_ = std::min(next_vm_ready_at_, vm.ready_at);
            }
        }
    }

    void serve(int second, std::vector<double>& demand_sample) {
        for (std::size_t index = 0; index < services_.size(); ++index) {
            auto& service = services_[index];
            const auto number = static_cast<int>(index);
            const double arrived = trace_.demand(number, second, service.mean);
            demand_sample[index] += arrived / sample_seconds;
            service.backlog = std::max(0.0, service.backlog + arrived - service.capacity);
            const double maximum_backlog = service.capacity * deployment_.maximum_wait_seconds;
            const double late = std::min(arrived, std::max(0.0, service.backlog - maximum_backlog));
            service.backlog -= late;
            const double wait =
                service.capacity > 0 ? service.backlog / service.capacity : deployment_.maximum_wait_seconds;
            total_wait_ += (arrived - late) * wait;
            offered_slots_ += arrived;
            late_worth_ += late * trace_.worth(number);
            offered_worth_ += arrived * trace_.worth(number);
        }
    }

    const placement_deployment& deployment_;
    const demand_trace& trace_;
    placement_strategy& strategy_;
    std::vector<simulated_vm> fleet_;
    std::vector<service_state> services_;
    placement_result result_;
    int next_vm_ready_at_ = 0;
    double offered_slots_ = 0;
    double total_wait_ = 0;
    double offered_worth_ = 0;
    double late_worth_ = 0;
};

}  // namespace

placement_result simulate(const placement_deployment& deployment, const demand_trace& trace, int vms,
                          placement_strategy& strategy) {
    return simulation(deployment, trace, vms, strategy).run();
}

}  // namespace masticpass::measure
