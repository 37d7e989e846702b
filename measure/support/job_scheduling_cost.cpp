#include "support/job_scheduling_cost.h"

#include <chrono>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "decision/jobs/job_scheduler.h"
#include "support/table.h"

namespace masticpass::measure {

namespace {

constexpr int pool_count = 4;
constexpr int tasks_per_step = 8;
constexpr absl::Duration task_time = absl::Milliseconds(900);
constexpr absl::Duration burst_length = absl::Seconds(4);
constexpr absl::Duration simulated_time = absl::Seconds(16);
constexpr absl::Duration tick = absl::Milliseconds(20);
// Interval of the regular reports of a worker. In addition, a worker reports each end of a run at once.
constexpr absl::Duration report_interval = absl::Seconds(1);
// With these values, a queue in a burst demands about one and a half times the capacity of its pool.
constexpr double jobs_per_worker_second = 0.12;
constexpr double burst_demand_factor = 4.0;
constexpr double idle_demand_factor = 0.05;
constexpr double ms_per_core_percent = 10.0;

pool_name pool(int number) {
    return pool_name(absl::StrCat("pool-", number));
}

class scheduling_simulation {
public:
    scheduling_simulation(int worker_count, std::uint64_t seed) : worker_count_(worker_count), random_(seed) {
        std::vector<queue_rules> queues;
        std::vector<worker_pool_rules> pools;
        for (int number = 0; number < pool_count; ++number) {
            pools.push_back({.name = pool(number)});
            queues.push_back({.name = queue_name(absl::StrCat("queue-", number)),
                              .pool = pool(number),
                              .max_attempts = 3,
                              .stretch = 2.0,
                              .target_latency = absl::Milliseconds(500)});
        }
        scheduler_.set_rules(queues, pools);
        std::vector<worker_entry> entries;
        entries.reserve(static_cast<std::size_t>(worker_count));
        for (int number = 0; number < worker_count; ++number) {
            entries.push_back({.id = worker_id(absl::StrCat("worker-identifier-", number)),
                               .pool = pool(number % pool_count),
                               .address = "192.0.2.1:7000",
                               .capacity = {.cpu_millis = 32000, .memory_mb = 65536},
                               .labels = {"a", absl::StrCat("rack-", number / 20)},
                               .started_ms = 1});
        }
        static_cast<void>(scheduler_.set_workers(entries, now_));
        for (const worker_entry& entry : entries) {
            workers_[entry.id].next_report = now_ + absl::Milliseconds(static_cast<int>(random_() % 1000));
            scheduler_.handle_report(entry.id, {.started_ms = 1}, now_, now_);
        }
        scheduler_.finish_recovery(now_);
    }

    void simulate() {
        const absl::Time end = now_ + simulated_time;
        for (; now_ < end; now_ += tick) {
            add_jobs();
            send_reports();
            const auto started = std::chrono::steady_clock::now();
            plan_and_start();
            plans_ms_.push_back(milliseconds_since(started));
        }
    }

    std::vector<std::string> row() const {
        const double seconds = absl::ToDoubleSeconds(simulated_time);
        const double total_ms = total_ms_ / seconds;
        return {std::to_string(worker_count_),
                absl::StrFormat("%.0f", static_cast<double>(starts_) / seconds),
                absl::StrFormat("%.3f", percentile(plans_ms_, 0.5)),
                absl::StrFormat("%.3f", percentile(plans_ms_, 0.99)),
                absl::StrFormat("%.2f", total_ms / ms_per_core_percent)};
    }

private:
    struct simulated_run {
        run_number run = 0;
        absl::Time ends_at;
    };
    struct simulated_worker {
        std::map<task_name, simulated_run> runs = {};
        std::int64_t ended_count = 0;
        absl::Time next_report;
    };

    double milliseconds_since(std::chrono::steady_clock::time_point started) {
        const double milliseconds =
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - started).count();
        total_ms_ += milliseconds;
        return milliseconds;
    }

    void add_jobs() {
        const int bursting_queue = static_cast<int>(absl::ToDoubleSeconds(now_ - absl::UnixEpoch()) /
                                                    absl::ToDoubleSeconds(burst_length)) %
                                   pool_count;
        for (int number = 0; number < pool_count; ++number) {
            const double rate = jobs_per_worker_second * worker_count_ / pool_count *
                                (number == bursting_queue ? burst_demand_factor : idle_demand_factor);
            std::poisson_distribution<int> arrivals(rate * absl::ToDoubleSeconds(tick));
            for (int count = arrivals(random_); count > 0; --count) {
                add_job(number);
            }
        }
    }

    void add_job(int queue) {
        job_step step{
            .task_count = tasks_per_step,
            .per_task = {.cpu_millis = 3000 + static_cast<std::int64_t>(random_() % 2000), .memory_mb = 2000},
            .estimate = task_time};
        job_step second = step;
        second.predecessors = {0};
        const auto started = std::chrono::steady_clock::now();
        scheduler_.add_job(job_id(absl::StrCat("00000000", 10000000 + jobs_)),
                           {.queue = queue_name(absl::StrCat("queue-", queue)),
                            .accepted_at = now_,
                            .specification = {.payload = "payload", .steps = {step, second}}},
                           {.accepted_at = now_, .sequence_number = jobs_}, nullptr);
        milliseconds_since(started);
        ++jobs_;
    }

    void send_reports() {
        for (auto& [id, worker] : workers_) {
            worker_report report{.started_ms = 1};
            std::erase_if(worker.runs, [&, ended_count = &worker.ended_count](const auto& entry) {
                if (entry.second.ends_at > now_) {
                    return false;
                }
                report.ended.push_back({.sequence_number = ++*ended_count,
                                        .task = entry.first,
                                        .run = entry.second.run,
                                        .outcome = run_outcome::done});
                return true;
            });
            if (report.ended.empty() && now_ < worker.next_report) {
                continue;
            }
            worker.next_report = now_ + report_interval;
            for (const auto& [task, run] : worker.runs) {
                report.running.push_back({.task = task, .run = run.run, .progress_percent = 50});
            }
            const auto started = std::chrono::steady_clock::now();
            scheduler_.handle_report(id, report, now_, now_);
            milliseconds_since(started);
        }
    }

    void plan_and_start() {
        static_cast<void>(scheduler_.plan(now_, absl::ZeroDuration()));
        static_cast<void>(scheduler_.take_events());
        for (const worker_order& order : scheduler_.confirm_batch(scheduler_.take_batch(now_), true)) {
            const double factor = 0.5 + static_cast<double>(random_() % 1000) / 1000.0;
            workers_[order.worker].runs[order.task] = {.run = order.run,
                                                       .ends_at = now_ + factor * task_time};
            scheduler_.handle_start_outcome(order, start_outcome::accepted, now_);
            ++starts_;
        }
    }

    const int worker_count_;
    std::mt19937_64 random_;
    absl::Time now_ = absl::UnixEpoch();
    job_scheduler scheduler_{{}};
    std::map<worker_id, simulated_worker> workers_;
    std::int64_t jobs_ = 0;
    std::int64_t starts_ = 0;
    double total_ms_ = 0;
    std::vector<double> plans_ms_;
};

}  // namespace

void print_scheduling_cost(std::span<const int> worker_counts, std::uint64_t seed) {
    table results({"workers", "starts/s", "plan p50 ms", "plan p99 ms", "core %"});
    for (const int count : worker_counts) {
        scheduling_simulation simulation(count, seed);
        simulation.simulate();
        results.add(simulation.row());
    }
    results.print("decisions of the job scheduler, four pools whose queues take turns with bursts of 4 s");
}

}  // namespace masticpass::measure
