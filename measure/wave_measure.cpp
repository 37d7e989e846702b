// Compares the length of maintenance waves with a lower bound and with a baseline that maintains one VM of
// each pool at a time, and measures the time of one planning step. The waves run through the real decision
// code on a simulated clock, so their length does not depend on the machine; the planning time does.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <absl/strings/str_format.h>

#include "decision/maintenance/action_planner.h"
#include "support/wave_bound.h"

namespace masticpass {

namespace {

struct deployment {
    std::string name;
    int pools = 0;
    int vms = 0;
    int zones = 0;
    availability_budget budget;
};

// Time from the reservation of a VM until every entry VM has acknowledged its drain.
constexpr int drain_seconds = 20;
constexpr int reboot_seconds = 180;
// Interval between the planning steps of an agent.
constexpr int round_seconds = 5;
// Time after which a failed VM returns.
constexpr int failure_seconds = 600;

// A wave without progress for this time is reported as paused. The timeout is longer than the time after
// which a wave ends without the VMs that never return.
constexpr int progress_timeout_seconds = 3600;

class wave_simulation {
public:
    wave_simulation(const deployment& fleet, std::uint64_t seed, int failures, int lost_vms)
        : random_(seed), failures_(failures), lost_vms_(lost_vms) {
        view_.self = incarnation_id("i1");
        view_.now = absl::FromUnixSeconds(1'700'000'000);
        declared_wave wave;
        wave.name = wave_name("w");
        int next_vm = 0;
        for (int pool = 0; pool < fleet.pools; ++pool) {
            const pool_name name(absl::StrFormat("p%03d", pool));
            const int size = fleet.vms / fleet.pools + (pool < fleet.vms % fleet.pools ? 1 : 0);
            stored_pool_record& stored = view_.pools[name];
            stored.record.pool = name;
            for (int index = 0; index < size; ++index, ++next_vm) {
                add_vm(stored.record, vm_id(absl::StrFormat("v%05d", next_vm)), index, fleet.zones, pool);
            }
            view_.limits[name].budget = fleet.budget;
            wave.pools.push_back(name);
            pools_.push_back(name);
        }
        view_.waves = {wave};
    }

    // Runs the wave. Returns the seconds until it has ended in every pool; -1 if failures keep it paused.
    int run() {
        for (int second = 0;; second += round_seconds) {
            simulate_platform(second);
            bool ended = false;
            for (const maintenance_action& action : plan_and_time()) {
                if (const auto* write = std::get_if<write_record>(&action)) {
                    view_.pools[write->pool] = {write->expected_revision + 1, write->record};
                    ++view_.next_sequence;
                } else if (const auto* reboot_action = std::get_if<reboot_vm>(&action)) {
                    reboot(reboot_action->vm, second);
                } else {
                    ended = handle_report(std::get<wave_report>(action), second);
                }
            }
            check_budgets();
            if (ended) {
                return second;
            }
            if (second - last_completion_ > progress_timeout_seconds) {
                return -1;
            }
            view_.now += absl::Seconds(round_seconds);
        }
    }

    // The lower bound of the length of the wave in seconds: the highest of the bounds of its pools.
    int lower_bound() const {
        int rounds = 0;
        for (const auto& [pool, stored] : view_.pools) {
            rounds =
                std::max(rounds, lower_bound_rounds(stored.record, view_.limits.at(pool).budget).value_or(0));
        }
        return rounds * (drain_seconds + reboot_seconds);
    }

    // A lower bound that takes into account that the failures of the simulation used up a part of the
    // budgets. Must be called after run(). It is not less than lower_bound().
    int lower_bound_with_failures() const {
        int bound = lower_bound();
        for (const auto& [pool, stored] : view_.pools) {
            bound = std::max(bound, measure::wave_bound(stored.record, view_.limits.at(pool).budget, outages_,
                                                        drain_seconds + reboot_seconds));
        }
        return bound;
    }

    const std::vector<double>& step_milliseconds() const { return step_milliseconds_; }
    int violations() const { return violations_; }
    const wave_report& report() const { return report_; }

    // The second at which the last VM that returned was done. The wave ends later if it waits for a VM that
    // never returns.
    int last_completion() const { return last_completion_; }

private:
    bool handle_report(const wave_report& report, int second) {
        last_completion_ = report.done != report_.done ? second : last_completion_;
        report_ = report;
        return report.status == wave_status::ended;
    }

    void add_vm(pool_record& record, const vm_id& id, int index, int zones, int pool) {
        pool_vm& vm = record.vms[id];
        vm.zone = zone_name(absl::StrFormat("z%d", index % zones));
        // A rack holds up to four VMs, all of the same pool and zone.
        vm.rack = rack_name(absl::StrFormat("%s-%d-%d", vm.zone.value(), pool, index / zones / 4));
        vm.maintained_at = view_.now - absl::Hours(24);
        vm_observation& observation = view_.vms[id];
        observation = {vm.zone, vm.rack, boot_id("b1"), record.pool, vm_list_state::live,
                       1,       true,    false,         false};
        view_.drain.senders[vm.zone] = {view_.self};
        boot_counts_[id] = 1;
    }

    std::vector<maintenance_action> plan_and_time() {
        const auto start = std::chrono::steady_clock::now();
        auto actions = plan_actions(view_, pools_);
        const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - start;
        step_milliseconds_.push_back(elapsed.count());
        return actions;
    }

    void reboot(const vm_id& id, int second) {
        vm_observation& observation = view_.vms.at(id);
        if (observation.last_probe_succeeded) {
            observation.last_probe_succeeded = false;
            const bool never_returns = lost_vms_ > 0 && random_() % 5 == 0;
            lost_vms_ -= never_returns ? 1 : 0;
            return_seconds_[id] = never_returns ? -1 : second + reboot_seconds;
        }
    }

    void simulate_platform(int second) {
        if (failures_ > 0 && random_() % 20 == 0) {
            const auto entry =
                std::next(view_.vms.begin(), static_cast<std::ptrdiff_t>(random_() % boot_counts_.size()));
            if (entry->second.last_probe_succeeded) {
                --failures_;
                entry->second.last_probe_succeeded = false;
                entry->second.failure_confirmed = true;
                return_seconds_[entry->first] = second + failure_seconds;
                outages_.push_back({entry->first, second, second + failure_seconds});
            }
        }
        std::erase_if(return_seconds_, [&](const auto& entry) {
            if (entry.second < 0 || entry.second > second) {
                return false;
            }
            vm_observation& observation = view_.vms.at(entry.first);
            observation.boot = boot_id(absl::StrFormat("b%d", ++boot_counts_.at(entry.first)));
            observation.list_index = second + 2;
            observation.last_probe_succeeded = true;
            observation.failure_confirmed = false;
            return true;
        });
        acknowledge_drains();
    }

    void acknowledge_drains() {
        for (const auto& [pool, stored] : view_.pools) {
            for (const auto& [id, vm] : stored.record.vms) {
                if (vm.phase == vm_phase::reserved && view_.now - vm.since >= absl::Seconds(drain_seconds)) {
                    view_.drain.acknowledged[{id, vm.operation}] = {view_.self};
                }
            }
        }
    }

    // Counts a violation for each pool in which masticpass itself has taken more VMs out of service than the
    // budget permits. This must never happen, whatever else fails.
    void check_budgets() {
        for (const auto& [pool, stored] : view_.pools) {
            pool_record without_failed = stored.record;
            std::erase_if(without_failed.vms,
                          [](const auto& entry) { return entry.second.phase == vm_phase::failed; });
            violations_ +=
                unavailable_vm_counts(without_failed, {}, 0).exceeded_limit(view_.limits.at(pool).budget) ? 1
                                                                                                          : 0;
        }
    }

    std::mt19937_64 random_;
    int failures_;
    int lost_vms_;
    maintenance_view view_;
    std::vector<pool_name> pools_;
    std::map<vm_id, int> boot_counts_;
    std::map<vm_id, int> return_seconds_;
    std::vector<measure::outage> outages_;
    std::vector<double> step_milliseconds_;
    wave_report report_;
    int violations_ = 0;
    int last_completion_ = 0;
};

double quantile(std::vector<double> values, double share) {
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(share * static_cast<double>(values.size() - 1)));
}

void print_row(const deployment& fleet, std::uint64_t seed, int failures, int lost_vms) {
    wave_simulation simulation(fleet, seed, failures, lost_vms);
    const int bound = simulation.lower_bound();
    const int end = simulation.run();
    const int bound_with_failures = simulation.lower_bound_with_failures();
    const std::string end_text = end < 0 ? "paused" : absl::StrFormat("%d", end);
    deployment baseline_fleet = fleet;
    baseline_fleet.budget = {.max_unavailable = 1};
    wave_simulation baseline(baseline_fleet, seed, failures, lost_vms);
    const std::string baseline_text =
        baseline.run() < 0 ? "paused" : absl::StrFormat("%d", baseline.last_completion());
    std::cout << absl::StrFormat(
                     "%-20s %4d %8d %4d %6d %6d %6.3f %7d %6.3f %6s %8s %7d %5d %8.2f %8.2f\n", fleet.name,
                     seed, failures, lost_vms, bound, simulation.last_completion(),
                     static_cast<double>(simulation.last_completion()) / bound, bound_with_failures,
                     static_cast<double>(simulation.last_completion()) / bound_with_failures, end_text,
                     baseline_text, static_cast<int>(simulation.report().never_returned.size()),
                     simulation.violations() + baseline.violations(),
                     quantile(simulation.step_milliseconds(), 0.5),
                     quantile(simulation.step_milliseconds(), 1.0))
              << std::flush;
}

}  // namespace

}  // namespace masticpass

// Usage: wave_measure [SEEDS]
// SEEDS is the number of seeds for the rows with failures, 3 by default.
int main(int argc, char** argv) {
    using masticpass::deployment;
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 3;
    const std::vector<deployment> deployments = {
        {"co-operative", 5, 50, 3, {.max_unavailable = 2}},
        {"co-operative, racks", 5, 50, 3, {.max_unavailable = 4, .max_racks_unavailable = 1}},
        {"loomsoft", 5, 50, 3, {.max_unavailable = 3, .max_unavailable_per_zone = 1}},
        {"loomsoft, zones", 5, 50, 3, {.max_unavailable = 4, .max_zones_unavailable = 1}},
        {"two years", 181, 1400, 6, {.max_unavailable = 2, .max_unavailable_per_rack = 1}},
        {"one large pool", 1, 200, 6, {.max_unavailable = 20, .max_racks_unavailable = 5}},
    };
    std::cout << "Times of waves are in seconds of simulated time, times of planning steps in milliseconds.\n"
              << "deployment           seed failures lost  bound length  ratio f-bound  ratio    end "
                 "baseline missing viol. "
                 "step p50 step max\n"
              << std::flush;
    for (const deployment& fleet : deployments) {
        masticpass::print_row(fleet, 1, 0, 0);
        for (int seed = 1; seed <= seeds; ++seed) {
            masticpass::print_row(fleet, static_cast<std::uint64_t>(seed), fleet.vms / 20, 0);
            masticpass::print_row(fleet, static_cast<std::uint64_t>(seed), fleet.vms / 20, 1);
        }
    }
    return 0;
}
