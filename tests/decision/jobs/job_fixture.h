#ifndef MASTICPASS_DECISION_JOBS_JOB_FIXTURE_H
#define MASTICPASS_DECISION_JOBS_JOB_FIXTURE_H

#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "decision/jobs/job_scheduler.h"

namespace masticpass {

// A scheduler with one pool and workers of 4 cores that have reported. The time changes only when a test
// advances it and by 1 ms with each report.
struct job_fixture {
    explicit job_fixture(int worker_count = 2) {
        for (int number = 1; number <= worker_count; ++number) {
            entries.push_back(make_worker("w" + std::to_string(number)));
        }
        const queue_rules queue{.name = queue_name("q"),
                                .pool = pool_name("p"),
                                .max_attempts = 2,
                                .stretch = 2.0,
                                .target_latency = absl::Milliseconds(500)};
        const worker_pool_rules pool{.name = pool_name("p")};
        scheduler.set_rules({&queue, 1}, {&pool, 1});
        static_cast<void>(scheduler.set_workers(entries, now));
        for (const worker_entry& entry : entries) {
            report(entry.id.value(), {});
        }
        scheduler.finish_recovery(now);
    }

    static worker_entry make_worker(const std::string& id) {
        return {.id = worker_id(id),
                .pool = pool_name("p"),
                .address = "127.0.0.1:1",
                .capacity = {.cpu_millis = 4000, .memory_mb = 4000},
                .labels = {"a", "r1"},
                .started_ms = 1};
    }

    static job_step make_step(int count, std::int64_t cpu_millis = 1000) {
        return {.task_count = count,
                .per_task = {.cpu_millis = cpu_millis, .memory_mb = 100},
                .estimate = absl::Seconds(1)};
    }

    void add(const std::string& id, std::vector<job_step> steps, bool is_inherited = false) {
        scheduler.add_job(job_id(id),
                          {.queue = queue_name("q"),
                           .accepted_at = now,
                           .specification = {.payload = "text", .steps = std::move(steps)}},
                          {.accepted_at = now, .sequence_number = ++jobs_added, .is_inherited = is_inherited},
                          nullptr);
    }

    static task_name task(const std::string& id, int index, int step = 0) {
        return {.job = job_id(id), .occurrence = 0, .step = step, .index = index};
    }

    // Returns all orders of one plan after storing its records.
    std::vector<worker_order> plan_and_store() {
        std::vector<worker_order> orders = scheduler.plan(now, absl::ZeroDuration());
        for (worker_order& start : scheduler.confirm_batch(scheduler.take_batch(now), true)) {
            orders.push_back(std::move(start));
        }
        return orders;
    }

    // Returns the starts of one plan after the workers accept all of them.
    std::vector<worker_order> start_all() {
        std::vector<worker_order> starts = plan(worker_order::order_kind::start);
        for (const worker_order& start : starts) {
            scheduler.handle_start_outcome(start, start_outcome::accepted, now);
        }
        return starts;
    }

    std::vector<worker_order> plan(worker_order::order_kind kind) {
        std::vector<worker_order> orders = plan_and_store();
        std::erase_if(orders, [&](const worker_order& one) { return one.kind != kind; });
        return orders;
    }

    // Processes a report whose poll was sent now.
    void report(const std::string& worker, worker_report contents) {
        contents.started_ms = contents.started_ms == 0 ? 1 : contents.started_ms;
        now += absl::Milliseconds(1);
        scheduler.handle_report(worker_id(worker), contents, now, now);
    }

    // Processes a report that lists all runs on the worker except stopping ones.
    void report_all(const worker_id& worker) {
        worker_report contents;
        const auto known = scheduler.workers().find(worker);
        if (known == scheduler.workers().end()) {
            return;
        }
        for (const auto& [name, run] : known->second.runs) {
            if (run.phase != run_phase::stopping) {
                contents.running.push_back({.task = name, .run = run.run});
            }
        }
        report(worker.value(), std::move(contents));
    }

    // Processes a report in which the run of the order has ended and all other runs on its worker continue.
    void report_end(const worker_order& ended, run_outcome end) {
        worker_report contents;
        contents.ended.push_back(
            {.sequence_number = ++ends_reported, .task = ended.task, .run = ended.run, .outcome = end});
        for (const auto& [name, run] : scheduler.workers().at(ended.worker).runs) {
            if (name != ended.task) {
                contents.running.push_back({.task = name, .run = run.run});
            }
        }
        report(ended.worker.value(), std::move(contents));
    }

    job_phase phase(const std::string& id) const { return scheduler.find_job(job_id(id))->phase(); }

    absl::Time now = absl::UnixEpoch() + absl::Seconds(100);
    std::int64_t jobs_added = 0;
    std::int64_t ends_reported = 0;
    std::vector<worker_entry> entries;
    job_scheduler scheduler{{.first_inherited_run_number = 65}};
};

}  // namespace masticpass

#endif
