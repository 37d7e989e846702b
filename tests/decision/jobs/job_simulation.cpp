#include "decision/jobs/job_simulation.h"

#include <algorithm>

namespace masticpass {

namespace {

constexpr absl::Duration fault_duration = absl::Seconds(10);
// Longer than the takeover wait, the time until the last occurrence is due, and all attempts of the longest
// tasks in both steps of a job.
constexpr absl::Duration recovery_duration = absl::Seconds(110);
constexpr absl::Duration poll_interval = absl::Milliseconds(80);
constexpr absl::Duration renewal_interval = absl::Milliseconds(500);
// Small, so that workers often have more run ends than they list.
constexpr std::size_t maximum_listed_ends = 2;

}  // namespace

job_simulation::job_simulation(const options& configured)
    : options_(configured), random_(configured.seed), has_faults_(configured.has_faults) {
    for (int number = 0; number < worker_count; ++number) {
        simulated_worker worker;
        worker.entry = {.id = worker_id("w" + std::to_string(next_worker_++)),
                        .pool = pool_name("p"),
                        .address = "127.0.0.1:1",
                        .capacity = {.cpu_millis = worker_cpu_millis, .memory_mb = 1000},
                        .started_ms = 1};
        worker.started_at = now_;
        worker.clock_rate = 0.98 + 0.01 * static_cast<double>(random_() % 3);
        workers_.emplace(worker.entry.id, worker);
    }
}

void job_simulation::report_violation(const std::string& what) {
    if (!violation_) {
        violation_ = what;
    }
}

std::optional<std::string> job_simulation::run() {
    const absl::Time faults_end = now_ + fault_duration;
    const absl::Time end = faults_end + recovery_duration;
    while (now_ < end && !violation_ && (now_ < faults_end || !have_all_jobs_ended())) {
        now_ += tick;
        if (now_ < faults_end) {
            add_load();
            if (has_faults_) {
                add_faults();
            }
        }
        is_store_up_ = is_store_up_ || now_ >= store_recovers_at_;
        run_workers();
        elect_owner();
        for (const auto& owner : owners_) {
            run_owner(*owner);
        }
        std::erase_if(owners_, [](const auto& owner) { return owner->has_ended; });
    }
    for (const auto& [id, job] : jobs_) {
        if (!is_final(job.record.phase)) {
            report_violation("job " + id.value() + " never ended");
        }
    }
    return violation_;
}

bool job_simulation::have_all_jobs_ended() const {
    return std::all_of(jobs_.begin(), jobs_.end(),
                       [](const auto& entry) { return is_final(entry.second.record.phase); });
}

void job_simulation::add_load() {
    if (!is_store_up_ || !chance(60)) {
        return;
    }
    const job_id id("j" + std::to_string(next_job_++));
    stored_job job{.accepted_by = last_fencing_token_};
    job.job = {.queue = queue_name("q"), .accepted_at = now_};
    const int steps = 1 + static_cast<int>(random_() % 2);
    for (int number = 0; number < steps; ++number) {
        job_step step{
            .task_count = 1 + static_cast<int>(random_() % 4),
            .per_task = {.cpu_millis = 500 + static_cast<int>(random_() % 3) * 500, .memory_mb = 10},
            .estimate = absl::Milliseconds(400)};
        if (number > 0) {
            step.predecessors = {number - 1};
        }
        job.job.specification.steps.push_back(step);
    }
    if (chance(250)) {
        job.job.specification.occurrences = 1 + static_cast<int>(random_() % 3);
        job.job.specification.first_due = now_ + random_duration(0, 2000);
        job.job.specification.interval = random_duration(200, 3000);
    }
    jobs_.emplace(id, std::move(job));
}

void job_simulation::add_faults() {
    for (auto& [id, worker] : workers_) {
        if (worker.is_alive && chance(3)) {
            restart(worker);
        }
        if (worker.is_alive && now_ >= worker.connected_until && chance(2)) {
            worker.partitioned_until = now_ + random_duration(200, 14000);
            worker.partitioned_fencing_token = chance(500) ? last_fencing_token_ + 1 : 0;
        }
    }
    if (chance(4)) {
        auto victim = workers_.begin();
        std::advance(victim, random_() % workers_.size());
        if (victim->second.is_alive) {
            crash(victim->second);
            simulated_worker next = victim->second;
            next = {};
            next.entry = victim->second.entry;
            next.entry.id = worker_id("w" + std::to_string(next_worker_++));
            next.started_at = now_;
            next.partitioned_until = now_ + random_duration(500, 2000);
            workers_.emplace(next.entry.id, next);
        }
    }
    if (chance(3) && !owners_.empty()) {
        owners_.back()->has_ended = true;
    }
    if (chance(3) && !owners_.empty()) {
        owners_.back()->paused_until = now_ + random_duration(300, 5000);
    }
    if (chance(3)) {
        owner_record_ = 0;  // Removed without notice: no request of the owner reveals it.
    }
    if (is_store_up_ && chance(2)) {
        is_store_up_ = false;
        store_recovers_at_ = now_ + random_duration(300, 5000);
    }
}

void job_simulation::elect_owner() {
    if (!is_store_up_) {
        return;
    }
    if (owner_record_ != 0 && now_ < owner_record_expires_at_) {
        return;
    }
    owner_record_ = ++last_fencing_token_;
    owner_record_expires_at_ = now_ + limits_.time_to_live;
    owners_.push_back(std::make_unique<simulated_owner>(
        limits_, owner_record_, now_, random_duration(-maximum_clock_error_ms, maximum_clock_error_ms)));
    simulated_owner& owner = *owners_.back();
    const queue_rules queue{.name = queue_name("q"), .pool = pool_name("p"), .max_attempts = max_attempts};
    owner.scheduler.set_rules({&queue, 1}, {});
    std::vector<worker_entry> known;
    for (const auto& [id, worker] : workers_) {
        // Crashed incarnations of workers stay in the stored list for some time.
        known.push_back(worker.entry);
        owner.connections[id].clock.assume_lease_until(now_ + limits_.takeover_wait());
    }
    owner.scheduler.add_inherited_workers(known);
    load_jobs(owner);
    if (options_.skips_takeover_wait) {
        owner.scheduler.finish_recovery(now_);
    }
}

void job_simulation::load_jobs(simulated_owner& owner) {
    for (const auto& [id, job] : jobs_) {
        if (owner.known_jobs.insert(id).second) {
            job_record record = job.record;
            if (options_.forgets_run_numbers) {
                record.last_run_number = 0;
            }
            owner.scheduler.add_job(
                id, job.job, {.accepted_at = now_, .is_inherited = job.accepted_by < owner.fencing_token},
                &record);
        }
        if (job.is_cancelled) {
            owner.scheduler.cancel_job(id);
        }
    }
}

void job_simulation::run_owner(simulated_owner& owner) {
    if (owner.has_ended || now_ < owner.paused_until) {
        return;
    }
    if (!owner.lease.is_valid(now_)) {
        owner.has_ended = true;
        return;
    }
    if (now_ >= owner.next_renewal && is_store_up_) {
        owner.next_renewal = now_ + renewal_interval;
        if (owner_record_ == owner.fencing_token) {
            owner.lease.renew(now_);
            owner_record_expires_at_ = now_ + limits_.time_to_live;
        }
    }
    if (is_store_up_) {
        std::vector<worker_entry> entries;
        for (const auto& [id, worker] : workers_) {
            if (worker.is_alive) {
                entries.push_back(worker.entry);
            }
        }
        static_cast<void>(owner.scheduler.set_workers(entries, now_));
        if (owner_record_ == owner.fencing_token) {
            load_jobs(owner);
        }
    }
    for (auto& [id, worker] : workers_) {
        deliver_report(owner, worker);
        if (now_ >= owner.connections[id].next_poll && !owner.connections[id].report) {
            owner.connections[id].next_poll = now_ + poll_interval;
            poll(owner, worker);
        }
    }
    const bool is_due = now_ >= owner.granted_at + limits_.takeover_wait();
    if (!owner.scheduler.is_recovered() && owner.scheduler.can_finish_recovery(is_due)) {
        owner.scheduler.finish_recovery(now_);
    }
    send_orders(owner, owner.scheduler.plan(now_, owner.wall_clock_error));
    owner.scheduler.take_events();
    store_batch(owner);
}

void job_simulation::poll(simulated_owner& owner, simulated_worker& worker) {
    worker_connection& connection = owner.connections[worker.entry.id];
    const bool is_lost = !worker.is_alive || worker.is_partitioned_from(owner.fencing_token, now_) ||
                         (has_faults_ && chance(15));
    const bool is_seen = owner.scheduler.workers().contains(worker.entry.id);
    if (!is_seen) {
        return;
    }
    if (is_lost) {
        connection.is_responding = false;
        owner.scheduler.handle_unreachable(worker.entry.id);
        if (!connection.is_lease_expired && now_ > connection.clock.lease_end()) {
            connection.is_lease_expired = true;
            owner.scheduler.handle_lease_expired(worker.entry.id, now_);
        }
        return;
    }
    if (owner.fencing_token < worker.fencing_token) {
        owner.has_ended = true;
        return;
    }
    worker.fencing_token = owner.fencing_token;
    if (connection.clock.has_reading() && connection.is_responding) {
        const std::int64_t until = connection.clock.extend_lease(owner.lease.run_lease_end(now_));
        worker.lease_end_ms = std::max(worker.lease_end_ms, until);
    }
    const worker_state& state = owner.scheduler.workers().at(worker.entry.id);
    const std::int64_t last_end =
        options_.acknowledges_before_storing ? state.last_processed_end : state.last_stored_end;
    // The session acknowledges no run ends after a failed poll, since the worker may have restarted.
    const bool has_restarted = state.started_ms != worker.entry.started_ms;
    const std::int64_t acknowledged = connection.is_responding && !has_restarted ? last_end : 0;
    acknowledge_ends(worker, acknowledged);
    worker_report report{.started_ms = worker.entry.started_ms, .ended = worker.ends};
    if (report.ended.size() >= maximum_listed_ends) {
        report.ended.resize(maximum_listed_ends);
        report.coverage = options_.takes_partial_reports_as_complete ? report_coverage::complete
                                                                     : report_coverage::unlisted_ends;
    }
    for (const auto& [task, run] : worker.runs) {
        report.running.push_back(
            {.task = task, .run = run.run, .progress_percent = static_cast<int>(random_() % 100)});
    }
    const bool is_slow = has_faults_ && chance(200);
    connection.report = {.at = is_slow ? now_ + random_duration(40, 600) : now_,
                         .sent_at = now_,
                         .clock_ms = worker.clock_ms(now_),
                         .report = std::move(report)};
    deliver_report(owner, worker);
}

void job_simulation::deliver_report(simulated_owner& owner, simulated_worker& worker) {
    worker_connection& connection = owner.connections[worker.entry.id];
    if (!connection.report || now_ < connection.report->at) {
        return;
    }
    const delayed_report arrived = *std::exchange(connection.report, std::nullopt);
    if (!owner.scheduler.workers().contains(worker.entry.id)) {
        return;
    }
    connection.clock.observe(arrived.report.started_ms, arrived.clock_ms, now_);
    connection.is_responding = true;
    connection.is_lease_expired = false;
    const std::int64_t known_ms = owner.scheduler.workers().at(worker.entry.id).started_ms;
    if (options_.releases_all_runs_at_restart && arrived.report.started_ms > known_ms) {
        owner.scheduler.handle_lease_expired(worker.entry.id, now_);
    }
    owner.scheduler.handle_report(worker.entry.id, arrived.report, arrived.sent_at, now_);
}

void job_simulation::send_orders(simulated_owner& owner, const std::vector<worker_order>& orders) {
    for (const worker_order& order : orders) {
        send_order(owner, order);
    }
}

void job_simulation::send_order(simulated_owner& owner, const worker_order& order) {
    worker_connection& connection = owner.connections[order.worker];
    simulated_worker& worker = workers_.at(order.worker);
    if (order.kind == worker_order::order_kind::start &&
        (!connection.is_responding || connection.is_lease_expired || !connection.clock.has_reading())) {
        owner.scheduler.handle_start_outcome(order, start_outcome::not_sent, now_);
        return;
    }
    const bool is_lost = !worker.is_alive || worker.is_partitioned_from(owner.fencing_token, now_) ||
                         (has_faults_ && chance(40));
    if (order.kind == worker_order::order_kind::stop) {
        if (!is_lost && owner.fencing_token >= worker.fencing_token) {
            worker.fencing_token = owner.fencing_token;
            worker.highest_blocked_run[order.task] =
                std::max(worker.highest_blocked_run[order.task], order.run);
            const auto run = worker.runs.find(order.task);
            if (run != worker.runs.end() && run->second.run <= order.run) {
                worker.end_run(order.task, run_outcome::stopped);
            }
        }
        owner.scheduler.handle_stop_response(order, !is_lost, now_, is_lost ? 0 : worker.entry.started_ms);
        return;
    }
    const std::int64_t until = connection.clock.extend_lease(owner.lease.run_lease_end(now_));
    start_outcome outcome = start_outcome::unknown;
    if (!is_lost) {
        outcome = start_at(worker, order, until, owner.fencing_token);
    } else if (worker.is_alive && chance(500)) {
        worker.delayed_orders.push_back({.sent_at = now_,
                                         .at = now_ + random_duration(20, 6000),
                                         .order = order,
                                         .until_ms = until,
                                         .fencing_token = owner.fencing_token});
    }
    if (outcome == start_outcome::unknown && options_.treats_lost_starts_as_unsent) {
        outcome = start_outcome::not_sent;
    }
    // Half of the responses name no incarnation.
    const std::int64_t started_ms = is_lost || chance(500) ? 0 : worker.entry.started_ms;
    if (started_ms != 0) {
        connection.clock.note_incarnation(started_ms, now_);
    }
    owner.scheduler.handle_start_outcome(order, outcome, now_, started_ms);
}

void job_simulation::store_batch(simulated_owner& owner) {
    const batch_scope scope = chance(600) ? batch_scope::urgent : batch_scope::all;
    const record_batch batch = owner.scheduler.take_batch(now_, scope);
    if (batch.is_empty()) {
        return;
    }
    const bool is_stored = is_store_up_ && owner_record_ == owner.fencing_token;
    if (is_stored) {
        for (const record_batch::update& update : batch.updates) {
            const auto record = parse_job_record(update.record);
            stored_job& job = jobs_.at(update.job);
            if (is_final(job.record.phase)) {
                report_violation("the record of " + update.job.value() + " changes after the job ended");
            }
            job.record = *record;
            for (const auto& progress : record->steps) {
                task_name task{.job = update.job, .occurrence = progress.occurrence, .step = progress.step};
                for (const int index : progress.done) {
                    task.index = index;
                    stored_completions_.insert(task);
                }
                for (const auto& failure : progress.failures) {
                    task.index = failure.index;
                    failed_runs_[task].insert(failure.run);
                }
            }
        }
    } else if (is_store_up_) {
        owner.has_ended = true;
    }
    send_orders(owner, owner.scheduler.confirm_batch(batch, is_stored));
}

}  // namespace masticpass
