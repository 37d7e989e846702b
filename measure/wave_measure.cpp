// Measures the length of maintenance waves against their lower bound and against one VM at a time per pool,
// and the time of one planning step. The waves run through the real decision code on a simulated clock, so
// their length does not depend on the machine; the planning time does.
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

// Seconds: the time from a reservation to the acknowledgement of every entry VM, and the time of a reboot.
constexpr int drain_seconds = 20;
constexpr int reboot_seconds = 180;
// An agent looks at its pools this often.
constexpr int round_seconds = 5;
// A failed VM comes back after this time.
constexpr int failure_seconds = 600;

// A wave without progress for this long is reported as paused. It is longer than the time after which a wave
// ends without VMs that never return.
constexpr int stalled_seconds = 3600;

class wave_run {
public:
    wave_run(const deployment& plan, std::uint64_t seed, int failures, int lost)
        : random_(seed), failures_(failures), lost_(lost) {
        view_.self = incarnation_id("i1");
        view_.now = absl::FromUnixSeconds(1'700'000'000);
        declared_wave wave;
        wave.name = wave_name("w");
        int next_vm = 0;
        for (int pool = 0; pool < plan.pools; ++pool) {
            const pool_name name(absl::StrFormat("p%03d", pool));
            const int size = plan.vms / plan.pools + (pool < plan.vms % plan.pools ? 1 : 0);
            stored_pool_record& stored = view_.pools[name];
            stored.record.pool = name;
            for (int index = 0; index < size; ++index, ++next_vm) {
                add_vm(stored.record, vm_id(absl::StrFormat("v%05d", next_vm)), index, plan.zones, pool);
            }
            view_.limits[name].budget = plan.budget;
            wave.pools.push_back(name);
            pools_.push_back(name);
        }
        view_.waves = {wave};
    }

    // Seconds until the wave has ended in every pool; -1 if failures keep it paused.
    int run() {
        for (int second = 0;; second += round_seconds) {
            platform(second);
            bool ended = false;
            for (const maintenance_action& action : timed_steps()) {
                if (const auto* change = std::get_if<write_record>(&action)) {
                    view_.pools[change->pool] = {change->expected_revision + 1, change->record};
                    ++view_.next_sequence;
                } else if (const auto* call = std::get_if<reboot_vm>(&action)) {
                    reboot(call->vm, second);
                } else {
                    ended = update(std::get<wave_report>(action), second);
                }
            }
            check_budgets();
            if (ended) {
                return second;
            }
            if (second - last_done_ > stalled_seconds) {
                return -1;
            }
            view_.now += absl::Seconds(round_seconds);
        }
    }

    // The longest lower bound of a pool, in seconds.
    int lower_bound() const {
        int rounds = 0;
        for (const auto& [pool, stored] : view_.pools) {
            rounds =
                std::max(rounds, lower_bound_rounds(stored.record, view_.limits.at(pool).budget).value_or(0));
        }
        return rounds * (drain_seconds + reboot_seconds);
    }

    // The same with the failures that happened in the run, which use up a part of the budgets; to be called
    // after the run. Not less than lower_bound().
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

    // Seconds until the last VM that came back was done. The wave ends later if it waits for a VM that never
    // returns.
    int last_done() const { return last_done_; }

private:
    bool update(const wave_report& report, int second) {
        last_done_ = report.done != report_.done ? second : last_done_;
        report_ = report;
        return report.status == wave_status::ended;
    }

    void add_vm(pool_record& record, const vm_id& id, int index, int zones, int pool) {
        pool_vm& vm = record.vms[id];
        vm.zone = zone_name(absl::StrFormat("z%d", index % zones));
        // Four workers to a rack; the VMs of a pool in a zone fill racks of their own.
        vm.rack = rack_name(absl::StrFormat("%s-%d-%d", vm.zone.value(), pool, index / zones / 4));
        vm.maintained_at = view_.now - absl::Hours(24);
        vm_observation& seen = view_.vms[id];
        seen = {vm.zone, vm.rack, boot_id("b1"), record.pool, vm_list_state::live, 1, true, false, false};
        view_.drain.senders[vm.zone] = {view_.self};
        boots_[id] = 1;
    }

    std::vector<maintenance_action> timed_steps() {
        const auto start = std::chrono::steady_clock::now();
        auto actions = plan_actions(view_, pools_);
        const std::chrono::duration<double, std::milli> spent = std::chrono::steady_clock::now() - start;
        step_milliseconds_.push_back(spent.count());
        return actions;
    }

    void reboot(const vm_id& id, int second) {
        vm_observation& seen = view_.vms.at(id);
        if (seen.last_probe_succeeded) {
            seen.last_probe_succeeded = false;
            const bool never = lost_ > 0 && random_() % 5 == 0;
            lost_ -= never ? 1 : 0;
            returns_[id] = never ? -1 : second + reboot_seconds;
        }
    }

    void platform(int second) {
        if (failures_ > 0 && random_() % 20 == 0) {
            const auto item =
                std::next(view_.vms.begin(), static_cast<std::ptrdiff_t>(random_() % boots_.size()));
            if (item->second.last_probe_succeeded) {
                --failures_;
                item->second.last_probe_succeeded = false;
                item->second.failure_confirmed = true;
                returns_[item->first] = second + failure_seconds;
                outages_.push_back({item->first, second, second + failure_seconds});
            }
        }
        std::erase_if(returns_, [&](const auto& item) {
            if (item.second < 0 || item.second > second) {
                return false;
            }
            vm_observation& seen = view_.vms.at(item.first);
            seen.boot = boot_id(absl::StrFormat("b%d", ++boots_.at(item.first)));
            seen.list_index = second + 2;
            seen.last_probe_succeeded = true;
            seen.failure_confirmed = false;
            return true;
        });
        acknowledge();
    }

    void acknowledge() {
        for (const auto& [pool, stored] : view_.pools) {
            for (const auto& [id, vm] : stored.record.vms) {
                if (vm.phase == vm_phase::reserved && view_.now - vm.since >= absl::Seconds(drain_seconds)) {
                    view_.drain.acknowledged[{id, vm.operation}] = {view_.self};
                }
            }
        }
    }

    // VMs that masticpass itself has taken out must never exceed the budget, whatever else fails.
    void check_budgets() {
        for (const auto& [pool, stored] : view_.pools) {
            pool_record own = stored.record;
            std::erase_if(own.vms, [](const auto& item) { return item.second.phase == vm_phase::failed; });
            violations_ +=
                unavailable_vm_counts(own, {}, 0).exceeded_limit(view_.limits.at(pool).budget) ? 1 : 0;
        }
    }

    std::mt19937_64 random_;
    int failures_;
    int lost_;
    maintenance_view view_;
    std::vector<pool_name> pools_;
    std::map<vm_id, int> boots_;
    std::map<vm_id, int> returns_;
    std::vector<measure::outage> outages_;
    std::vector<double> step_milliseconds_;
    wave_report report_;
    int violations_ = 0;
    int last_done_ = 0;
};

double quantile(std::vector<double> values, double part) {
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(part * static_cast<double>(values.size() - 1)));
}

void print_row(const deployment& plan, std::uint64_t seed, int failures, int lost) {
    wave_run run(plan, seed, failures, lost);
    const int bound = run.lower_bound();
    const int end = run.run();
    const int bound_with_failures = run.lower_bound_with_failures();
    const std::string end_text = end < 0 ? "paused" : absl::StrFormat("%d", end);
    deployment baseline_plan = plan;
    baseline_plan.budget = {.max_unavailable = 1};
    wave_run baseline(baseline_plan, seed, failures, lost);
    const std::string baseline_text =
        baseline.run() < 0 ? "paused" : absl::StrFormat("%d", baseline.last_done());
    std::cout << absl::StrFormat("%-20s %4d %8d %4d %6d %6d %6.3f %7d %6.3f %6s %8s %7d %5d %8.2f %8.2f\n",
                                 plan.name, seed, failures, lost, bound, run.last_done(),
                                 static_cast<double>(run.last_done()) / bound, bound_with_failures,
                                 static_cast<double>(run.last_done()) / bound_with_failures, end_text,
                                 baseline_text, static_cast<int>(run.report().never_returned.size()),
                                 run.violations() + baseline.violations(),
                                 quantile(run.step_milliseconds(), 0.5),
                                 quantile(run.step_milliseconds(), 1.0))
              << std::flush;
}

}  // namespace

}  // namespace masticpass

// Usage: wave_measure [SEEDS]; the number of seeds for the rows with failures, 3 by default.
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
    std::cout << "Times of waves in seconds of simulated time, of planning steps in milliseconds.\n"
              << "deployment           seed failures lost  bound length  ratio f-bound  ratio    end "
                 "baseline missing viol. "
                 "step p50 step max\n"
              << std::flush;
    for (const deployment& plan : deployments) {
        masticpass::print_row(plan, 1, 0, 0);
        for (int seed = 1; seed <= seeds; ++seed) {
            masticpass::print_row(plan, static_cast<std::uint64_t>(seed), plan.vms / 20, 0);
            masticpass::print_row(plan, static_cast<std::uint64_t>(seed), plan.vms / 20, 1);
        }
    }
    return 0;
}
