#include "support/placement_strategies.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <string>
#include <utility>

namespace masticpass::measure {

namespace {

constexpr double slots_per_vm = 8;

absl::Time time_of(int second) {
    return absl::UnixEpoch() + absl::Hours(1) + absl::Seconds(second);
}

// Distributes VMs in proportion to the weights by the largest remainder method. Each pool gets at least one.
std::vector<int> apportion(int services, int vms, const std::function<double(int)>& weight) {
    double total = 0;
    for (int service = 0; service < services; ++service) {
        total += weight(service);
    }
    std::vector<int> sizes;
    std::vector<std::pair<double, std::size_t>> remainders;
    for (int service = 0; service < services; ++service) {
        const double share = weight(service) / total * vms;
        sizes.push_back(std::max(1, static_cast<int>(share)));
        remainders.emplace_back(sizes.back() - share, sizes.size() - 1);
    }
    std::sort(remainders.begin(), remainders.end());
    int remaining = vms - std::accumulate(sizes.begin(), sizes.end(), 0);
    for (std::size_t index = 0; remaining > 0; ++index, --remaining) {
        ++sizes[remainders[index % remainders.size()].second];
    }
    for (std::size_t index = remainders.size(); remaining < 0 && index > 0; --index, ++remaining) {
        --sizes[remainders[index - 1].second];
    }
    return sizes;
}

// Moves serving VMs from pools above their target size (donors) to pools below it (receivers). `missing`
// holds the target size of each pool; the function subtracts the VMs of the pool that have not failed.
std::vector<simulated_move> moves_to_sizes(std::vector<int> missing, const std::vector<simulated_vm>& vms,
                                           int second) {
    for (const auto& vm : vms) {
        missing[static_cast<std::size_t>(vm.pool)] -= vm.failed ? 0 : 1;
    }
    std::vector<simulated_move> moves;
    std::size_t receiver = 0;
    for (std::size_t index = 0; index < vms.size(); ++index) {
        const auto donor = static_cast<std::size_t>(vms[index].pool);
        if (!vms[index].is_serving(second) || missing[donor] >= 0) {
            continue;
        }
        while (receiver < missing.size() && missing[receiver] <= 0) {
            ++receiver;
        }
        // A VM that no other pool needs goes to the spare pool; one that is already there stays.
        const auto to = receiver < missing.size() ? receiver : 0;
        if (to != donor) {
            ++missing[donor];
            --missing[to];
            moves.push_back({static_cast<int>(index), static_cast<int>(to)});
        }
    }
    return moves;
}

// Sizes each pool for its long-term mean times the headroom. The remaining VMs are in the spare pool.
std::vector<int> sizes_with_spare(const demand_trace& trace, int vms, double headroom) {
    auto sizes = proportional_sizes(trace, vms);
    int remaining = vms;
    for (std::size_t pool = 1; pool < sizes.size(); ++pool) {
        const auto needed =
            static_cast<int>(std::ceil(trace.mean(static_cast<int>(pool)) * headroom / slots_per_vm));
        sizes[pool] = std::min(sizes[pool], needed);
        remaining -= sizes[pool];
    }
    sizes[0] = remaining;
    return sizes;
}

}  // namespace

std::vector<int> proportional_sizes(const demand_trace& trace, int vms) {
    return apportion(trace.services(), vms, [&](int service) { return trace.mean(service); });
}

std::vector<int> fixed_spare::initial_sizes(const demand_trace& trace, int vms) {
    return proportional_sizes(trace, vms);
}

void fixed_spare::observe(int, const std::vector<double>&) {}

std::vector<simulated_move> fixed_spare::decide(int, const std::vector<simulated_vm>&) {
    return {};
}

std::vector<int> chase_demand::initial_sizes(const demand_trace& trace, int vms) {
    for (int service = 0; service < trace.services(); ++service) {
        slots_.push_back(trace.mean(service));
    }
    samples_ = 1;
    return sizes_with_spare(trace, vms, headroom_);
}

void chase_demand::observe(int, const std::vector<double>& slots) {
    ++samples_;
    for (std::size_t index = 0; index < slots.size(); ++index) {
        slots_[index] += slots[index];
    }
}

std::vector<simulated_move> chase_demand::decide(int second, const std::vector<simulated_vm>& vms) {
    for (auto& slots : slots_) {
        slots /= samples_;
    }
    means_.push_back(std::exchange(slots_, std::vector<double>(slots_.size())));
    samples_ = 0;
    if (means_.size() > rounds_) {
        means_.pop_front();
    }
    std::vector<int> missing(slots_.size());
    for (std::size_t pool = 0; pool < missing.size(); ++pool) {
        double mean = 0;
        for (const auto& round : means_) {
            mean += round[pool] / static_cast<double>(means_.size());
        }
        missing[pool] = std::max(1, static_cast<int>(std::ceil(mean * headroom_ / slots_per_vm)));
    }
    return moves_to_sizes(std::move(missing), vms, second);
}

std::vector<int> ideal_spread::initial_sizes(const demand_trace& trace, int vms) {
    trace_ = &trace;
    return proportional_sizes(trace, vms);
}

void ideal_spread::observe(int, const std::vector<double>&) {}

std::vector<simulated_move> ideal_spread::decide(int second, const std::vector<simulated_vm>& vms) {
    const auto available = std::count_if(vms.begin(), vms.end(), [](const auto& vm) { return !vm.failed; });
    return moves_to_sizes(apportion(trace_->services(), static_cast<int>(available),
                                    [&](int service) { return trace_->drifting_mean(service, second); }),
                          vms, second);
}

planned_placement::planned_placement(const placement_deployment& deployment, placement_policy policy)
    : headroom_(policy.headroom), planner_(policy) {
    for (int service = 0; service < deployment.services; ++service) {
        services_.emplace_back("s" + std::to_string(1000 + service));
    }
}

std::vector<int> planned_placement::initial_sizes(const demand_trace& trace, int vms) {
    for (int service = 0; service < trace.services(); ++service) {
        planned_slots_.push_back(trace.mean(service));
    }
    auto sizes = sizes_with_spare(trace, vms, headroom_);
    const int needed = static_cast<int>(std::ceil(trace.mean(0) * headroom_ / slots_per_vm));
    buffer_vms_ = std::max(0, (sizes[0] - needed) / 2);
    return sizes;
}

void planned_placement::observe(int second, const std::vector<double>& slots) {
    for (std::size_t index = 0; index < slots.size(); ++index) {
        tracker_.record(services_[index], time_of(second), slots[index]);
    }
}

std::vector<simulated_move> planned_placement::decide(int second, const std::vector<simulated_vm>& vms) {
    std::vector<placement_pool> pools(services_.size());
    for (std::size_t index = 0; index < pools.size(); ++index) {
        auto& pool = pools[index];
        planned_slots_[index] =
            planned_demand(planned_slots_[index], tracker_.estimate(services_[index], time_of(second)));
        pool.pool = pool_name(services_[index].value());
        pool.team = team_name("team");
        pool.minimum_vms = 1;
        pool.spare = index == 0;
        pool.buffer_vms = pool.spare ? buffer_vms_ : 0;
        pool.survive_rack = true;
        pool.budget.max_unavailable = static_cast<int>(vms.size());
        pool.sustained_slots = planned_slots_[index];
    }
    for (std::size_t index = vms_.size(); index < vms.size(); ++index) {
        const auto& vm = vms[index];
        vms_.push_back({vm_id(std::to_string(index)), zone_name(std::to_string(vm.zone)),
                        rack_name(std::to_string(vm.rack))});
    }
    for (std::size_t index = 0; index < vms.size(); ++index) {
        const auto& vm = vms[index];
        const auto state = vm.failed              ? placement_vm_state::unavailable
                           : vm.is_moving(second) ? placement_vm_state::incoming
                                                  : placement_vm_state::serving;
        vms_[index].state = state;
        pools[static_cast<std::size_t>(vm.pool)].vms.push_back(vms_[index]);
    }
    for (auto& pool : pools) {
        planner_.update_pool(std::move(pool));
    }
    std::vector<simulated_move> moves;
    for (const auto& move : planner_.plan(time_of(second)).moves) {
        const auto to = std::find(services_.begin(), services_.end(), service_name(move.to.value()));
        moves.push_back({std::stoi(move.vm.value()), static_cast<int>(to - services_.begin())});
    }
    return moves;
}

}  // namespace masticpass::measure
