// The workers of the simulation: their runs and run ends, restarts, and the checks of each start.

#include <algorithm>

#include "decision/jobs/job_simulation.h"

namespace masticpass {

namespace {

// The sender of an order closes its connection after this time, and the order is lost if it is still in
// transit.
constexpr absl::Duration order_timeout = absl::Milliseconds(700);
// A worker that restarts while a start is in transit may execute it with a run lease of the longest duration,
// because the time that the order carries is of the earlier clock. No owner can know of a lease that long if
// the worker then becomes unreachable, so the simulation does not partition a worker for this time after its
// restart.
constexpr absl::Duration connected_after_restart = absl::Seconds(13);

}  // namespace

std::int64_t job_simulation::simulated_worker::clock_ms(absl::Time now) const {
    return static_cast<std::int64_t>(absl::ToDoubleMilliseconds(now - started_at) * clock_rate);
}

void job_simulation::simulated_worker::end_run(const task_name& task, run_outcome end) {
    const auto run = runs.find(task);
    ends.push_back({.sequence_number = ++last_end, .task = task, .run = run->second.run, .outcome = end});
    highest_blocked_run[task] = std::max(highest_blocked_run[task], run->second.run);
    runs.erase(run);
}

void job_simulation::crash(simulated_worker& worker) {
    worker.runs.clear();
    worker.delayed_orders.clear();
    worker.is_alive = false;
}

void job_simulation::restart(simulated_worker& worker) {
    worker.runs.clear();
    worker.ends.clear();
    worker.last_end = 0;
    worker.last_end_before_lapse = 0;
    worker.superseded_ends.clear();
    worker.lease_end_ms = 0;
    std::erase_if(worker.delayed_orders, [&](const delayed_order& delayed) {
        return delayed.sent_at + order_timeout < now_ || delayed.fencing_token < worker.fencing_token ||
               delayed.order.run <= worker.highest_blocked_run[delayed.order.task];
    });
    for (delayed_order& delayed : worker.delayed_orders) {
        delayed.at = std::min(delayed.at, delayed.sent_at + order_timeout);
    }
    worker.fencing_token = 0;
    worker.highest_blocked_run.clear();
    worker.started_at = now_;
    ++worker.entry.started_ms;
    worker.partitioned_until = now_;
    worker.connected_until = now_ + connected_after_restart;
}

void job_simulation::run_workers() {
    for (auto& [id, worker] : workers_) {
        if (!worker.is_alive) {
            continue;
        }
        if (worker.clock_ms(now_) >= worker.lease_end_ms) {
            worker.last_end_before_lapse = worker.last_end;
            worker.superseded_ends.clear();
        }
        std::vector<std::pair<task_name, run_outcome>> ended;
        for (const auto& [task, run] : worker.runs) {
            if (worker.clock_ms(now_) >= worker.lease_end_ms) {
                ended.emplace_back(task, run_outcome::lapsed);
            } else if (now_ >= run.ends_at) {
                ended.emplace_back(task, run.end);
            }
        }
        for (const auto& [task, end] : ended) {
            worker.end_run(task, end);
        }
        std::vector<delayed_order> due;
        std::erase_if(worker.delayed_orders, [&](const delayed_order& delayed) {
            if (delayed.at <= now_) {
                due.push_back(delayed);
            }
            return delayed.at <= now_;
        });
        for (const delayed_order& delayed : due) {
            start_at(worker, delayed.order, delayed.until_ms, delayed.fencing_token);
        }
    }
}

start_outcome job_simulation::start_at(simulated_worker& worker, const worker_order& order,
                                       std::int64_t until_ms, fencing_token_value fencing_token) {
    const std::int64_t cpu = jobs_.at(order.task.job)
                                 .job.specification.steps[static_cast<std::size_t>(order.task.step)]
                                 .per_task.cpu_millis;
    if (fencing_token < worker.fencing_token || until_ms <= worker.clock_ms(now_) ||
        order.run <= worker.highest_blocked_run[order.task] || worker.runs.contains(order.task)) {
        return start_outcome::refused;
    }
    std::int64_t used = cpu;
    for (const auto& [task, run] : worker.runs) {
        used += run.cpu_millis;
    }
    if (used > worker_cpu_millis) {
        return start_outcome::insufficient_capacity;
    }
    worker.fencing_token = fencing_token;
    const std::int64_t latest_end_ms =
        worker.clock_ms(now_) + absl::ToInt64Milliseconds(limits_.maximum_run_lease);
    worker.lease_end_ms = std::max(worker.lease_end_ms, std::min(until_ms, latest_end_ms));
    check_start(worker, order);
    worker.runs[order.task] = {
        .run = order.run,
        .ends_at = now_ + (chance(60) ? random_duration(8000, 15000) : random_duration(100, 1200)),
        .end = has_faults_ && chance(20) ? run_outcome::failed : run_outcome::done,
        .cpu_millis = cpu};
    return start_outcome::accepted;
}

void job_simulation::acknowledge_ends(simulated_worker& worker, std::int64_t last_acknowledged) {
    std::erase_if(worker.ends, [&](const listed_end& end) {
        if (end.sequence_number > last_acknowledged) {
            return false;
        }
        if (end.outcome == run_outcome::done) {
            acknowledged_completions_.insert(end.task);
        }
        if (worker.superseded_ends.contains(end.sequence_number)) {
            report_violation(to_string(end.task) + " run " + std::to_string(end.run) +
                             " ended with a result, which is acknowledged after a later start");
        }
        return true;
    });
}

void job_simulation::check_start(const simulated_worker& worker, const worker_order& order) {
    const std::string name = to_string(order.task) + " run " + std::to_string(order.run);
    for (const auto& [id, other] : workers_) {
        if (other.is_alive && id != worker.entry.id && other.runs.contains(order.task)) {
            report_violation(name + " starts on " + worker.entry.id.value() + " while it runs on " +
                             id.value());
        }
    }
    for (auto& [id, other] : workers_) {
        for (const listed_end& end : other.ends) {
            if (other.is_alive && end.task == order.task && end.outcome == run_outcome::done &&
                end.sequence_number > other.last_end_before_lapse) {
                other.superseded_ends.insert(end.sequence_number);
            }
        }
    }
    if (stored_completions_.contains(order.task) ||
        jobs_.at(order.task.job).record.phase == job_phase::completed) {
        report_violation(name + " starts after its completion was stored");
    }
    if (acknowledged_completions_.contains(order.task)) {
        report_violation(name + " starts after its completion was acknowledged");
    }
    const job_specification& job = jobs_.at(order.task.job).job.specification;
    if (job.is_timed() && now_ + absl::Milliseconds(maximum_clock_error_ms) <
                              job.first_due + order.task.occurrence * job.interval) {
        report_violation(name + " starts before its time");
    }
    const job_step& step = job.steps[static_cast<std::size_t>(order.task.step)];
    for (const int earlier : step.predecessors) {
        const int count = job.steps[static_cast<std::size_t>(earlier)].task_count;
        for (int index = 0; index < count; ++index) {
            if (!stored_completions_.contains({.job = order.task.job,
                                               .occurrence = order.task.occurrence,
                                               .step = earlier,
                                               .index = index})) {
                report_violation(name + " starts before the end of a step that it depends on");
            }
        }
    }
    if (failed_runs_[order.task].size() >= max_attempts) {
        report_violation(name + " starts after its maximum number of attempts");
    }
}

}  // namespace masticpass
