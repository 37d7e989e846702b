#include "support/scheduling_part.h"

#include <array>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "support/serving_policy.h"
#include "support/serving_simulation.h"
#include "support/serving_trace.h"
#include "support/table.h"
#include "support/worth_bound.h"

namespace masticpass::measure {
namespace {

constexpr int services = 5;

std::string format_number(double value) {
    return absl::StrFormat("%.4f", value);
}
std::string format_percent(double share) {
    return absl::StrFormat("%.2f%%", 100.0 * share);
}

serving_result run_simple(const serving_trace& trace, queue_order order) {
    const auto policy = make_simple_policy(trace, order);
    return simulate(trace, *policy);
}

serving_result run_scheduler(const serving_trace& trace, const scheduler_policy_options& options) {
    const auto policy = make_scheduler_policy(trace, options);
    return simulate(trace, *policy);
}

scheduler_policy_options large_queue_options() {
    scheduler_policy_options options;
    options.scheduler.maximum_queue_items = 100'000;
    options.scheduler.maximum_queue_bytes = std::size_t{1} << 30U;
    return options;
}

// Makes one trace for each service. The bursts of the services follow one another.
std::vector<serving_trace> make_service_traces(std::uint64_t seed, trace_options options) {
    std::vector<serving_trace> traces;
    for (int service = 0; service < services; ++service) {
        options.seed = seed * 1000 + static_cast<std::uint64_t>(service);
        options.burst_start = options.burst_length * service;
        traces.push_back(make_trace(options));
    }
    return traces;
}

serving_trace make_wait_trace(std::uint64_t seed, int servers, double load) {
    trace_options options{.seed = seed,
                          .servers = servers,
                          .horizon = 600.0,
                          .burst_load = load,
                          .burst_length = 600.0,
                          .burst_period = 600.0,
                          .short_share = 0.2};
    // The tables are about waits and not about refusals, so deadlines are set too late to matter.
    options.deadline_factor = 1000.0;
    return make_trace(options);
}

// Slot-seconds used by each kind of occupant during the waits at or above the 99th percentile, and their sum.
std::pair<std::array<double, occupant_kinds>, double> slot_seconds_in_tail(const serving_result& result) {
    const double threshold = percentile(result.short_waits, 0.99);
    std::array<double, occupant_kinds> slot_seconds = {};
    for (const short_wait& entry : result.short_wait_causes) {
        for (std::size_t kind = 0; kind < occupant_kinds && entry.wait >= threshold; ++kind) {
            slot_seconds[kind] += entry.slot_seconds[kind];
        }
    }
    return {slot_seconds, std::accumulate(slot_seconds.begin(), slot_seconds.end(), 0.0)};
}

// Finds the number of reserved slots with which the true-class policy has the lowest p99 wait and loses at
// most 3% of the work that first-come order completes.
std::pair<int, serving_result> best_true_class(const serving_trace& trace, double work_first_come) {
    constexpr double maximum_loss = 0.03;
    std::pair<int, serving_result> best = {-1, {}};
    for (int reserved_slots = 0; reserved_slots < trace.slots(); ++reserved_slots) {
        serving_result result = simulate(trace, *make_true_class_policy(trace, reserved_slots));
        if (result.work_completed < (1.0 - maximum_loss) * work_first_come) {
            break;
        }
        if (best.first < 0 ||
            percentile(result.short_waits, 0.99) < percentile(best.second.short_waits, 0.99)) {
            best = {reserved_slots, std::move(result)};
        }
    }
    return best;
}

}  // namespace

void measure_wait_causes(std::uint64_t seed) {
    table rows({"servers", "load", "p99 s", "long", "long as short", "overlong", "short", "first come p99 s",
                "kept", "true class p99 s", "true class ratio", "true class lost"});
    for (const int servers : {1, 3, 10}) {
        for (const double load : {0.8, 0.95, 1.1}) {
            const serving_trace trace = make_wait_trace(seed, servers, load);
            const auto first_come = run_simple(trace, queue_order::first_come);
            const auto scheduled = run_scheduler(trace, large_queue_options());
            const auto [slot_seconds, sum] = slot_seconds_in_tail(scheduled);
            const auto [reserved_slots, best] = best_true_class(trace, first_come.work_completed);
            const double first_come_p99 = percentile(first_come.short_waits, 0.99);
            const double best_p99 = percentile(best.short_waits, 0.99);
            rows.add({absl::StrCat(servers), absl::StrCat(load),
                      format_number(percentile(scheduled.short_waits, 0.99)),
                      format_percent(slot_seconds[0] / sum), format_percent(slot_seconds[1] / sum),
                      format_percent(slot_seconds[2] / sum), format_percent(slot_seconds[3] / sum),
                      format_number(first_come_p99), absl::StrCat(reserved_slots), format_number(best_p99),
                      absl::StrFormat("%.1f", best_p99 > 0 ? first_come_p99 / best_p99 : 0.0),
                      format_percent(1.0 - best.work_completed / first_come.work_completed)});
        }
    }
    rows.print(absl::StrCat("What occupies the slots during the longest waits of short work, seed ", seed));
}

void measure_short_wait(std::uint64_t seed) {
    table rows({"servers", "load", "policy", "p50 s", "p99 s", "p99.9 s", "short jobs", "jobs done",
                "work done s", "p99 ratio", "work lost"});
    for (const int servers : {1, 3, 10}) {
        for (const double load : {0.8, 0.95, 1.1}) {
            const serving_trace trace = make_wait_trace(seed, servers, load);
            const auto first_come = run_simple(trace, queue_order::first_come);
            const auto scheduled = run_scheduler(trace, large_queue_options());
            const double first_come_p99 = percentile(first_come.short_waits, 0.99);
            const auto add = [&](const std::string& name, const serving_result& result) {
                const double p99 = percentile(result.short_waits, 0.99);
                rows.add({absl::StrCat(servers), absl::StrCat(load), name,
                          format_number(percentile(result.short_waits, 0.5)), format_number(p99),
                          format_number(percentile(result.short_waits, 0.999)),
                          absl::StrCat(result.short_jobs), absl::StrCat(result.jobs_completed),
                          absl::StrFormat("%.0f", result.work_completed),
                          absl::StrFormat("%.1f", p99 > 0 ? first_come_p99 / p99 : 0.0),
                          format_percent(1.0 - result.work_completed / first_come.work_completed)});
            };
            add("first come", first_come);
            add("scheduler", scheduled);
        }
    }
    rows.print(absl::StrCat("Wait of short work behind long work, seed ", seed));
}

void measure_worth(std::uint64_t seed, double bound_step) {
    table rows(
        {"burst load", "faults", "spread", "jobs", "bound", "first come", "deadline only", "scheduler"});
    for (const bool faults : {false, true}) {
        for (const double spread : {0.1, 0.3}) {
            for (const double load : {1.0, 2.0, 5.0}) {
                const auto traces =
                    make_service_traces(seed, {.burst_load = load, .spread = spread, .faults = faults});
                double bound = 0.0;
                double first_come = 0.0;
                double deadline = 0.0;
                double scheduled = 0.0;
                std::size_t jobs = 0;
                for (const serving_trace& trace : traces) {
                    jobs += trace.jobs.size();
                    bound += worth_upper_bound(trace, bound_step);
                    first_come += run_simple(trace, queue_order::first_come).worth_on_time;
                    deadline += run_simple(trace, queue_order::deadline).worth_on_time;
                    scheduled += run_scheduler(trace, {}).worth_on_time;
                }
                rows.add({absl::StrCat(load), faults ? "yes" : "no", absl::StrCat(spread), absl::StrCat(jobs),
                          absl::StrFormat("%.0f", bound), format_percent(first_come / bound),
                          format_percent(deadline / bound), format_percent(scheduled / bound)});
            }
        }
    }
    rows.print(absl::StrCat("Worth of work done on time as a share of the upper bound, seed ", seed));
}

void measure_retries(std::uint64_t seed) {
    table rows({"policy", "jobs", "attempts", "retries", "retries per job", "on time"});
    const auto traces = make_service_traces(seed, {.burst_load = 1.0, .faults = true});
    const auto add = [&](const std::string& name, const scheduler_policy_options& options) {
        serving_result sum;
        std::size_t jobs = 0;
        for (const serving_trace& trace : traces) {
            const auto result = run_scheduler(trace, options);
            jobs += trace.jobs.size();
            sum.attempts += result.attempts;
            sum.retries += result.retries;
            sum.on_time += result.on_time;
        }
        rows.add({name, absl::StrCat(jobs), absl::StrCat(sum.attempts), absl::StrCat(sum.retries),
                  format_number(static_cast<double>(sum.retries) / static_cast<double>(jobs)),
                  absl::StrCat(sum.on_time)});
    };
    scheduler_policy_options unlimited;
    unlimited.scheduler.retry_percent = 1'000'000;
    unlimited.scheduler.retry_burst = 1'000'000;
    add("budget, ejection", {});
    add("budget, no ejection", {.scheduler = {}, .ejection = false});
    add("unlimited, ejection", unlimited);
    unlimited.ejection = false;
    add("unlimited, no ejection", unlimited);
    rows.print(
        absl::StrCat("Retries while a fifth of the servers fail for a third of the time, seed ", seed));
}

}  // namespace masticpass::measure
