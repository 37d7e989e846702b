#include "decision/jobs/job_world.h"

#include <algorithm>

namespace masticpass {

namespace {

constexpr absl::Duration trouble_time = absl::Seconds(10);
// Longer than the longest wait of a take-over and the longest tasks.
constexpr absl::Duration calm_time = absl::Seconds(40);
constexpr absl::Duration look_interval = absl::Milliseconds(80);
constexpr absl::Duration renewal_interval = absl::Milliseconds(500);
constexpr std::int64_t worker_cpu_millis = 4000;

}  // namespace

std::int64_t job_world::model_worker::clock_ms(absl::Time now) const {
    return static_cast<std::int64_t>(absl::ToDoubleMilliseconds(now - started_at) * clock_rate);
}

void job_world::model_worker::end_run(const task_name& task, run_outcome end) {
    const auto run = runs.find(task);
    ends.push_back({.sequence_number = ++last_end, .task = task, .run = run->second.run, .outcome = end});
    barred[task] = std::max(barred[task], run->second.run);
    runs.erase(run);
}

job_world::job_world(const options& configured)
    : options_(configured), random_(configured.seed), has_faults_(configured.has_faults) {
    for (int number = 0; number < worker_count; ++number) {
        model_worker worker;
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

void job_world::fail(const std::string& what) {
    if (!broken_) {
        broken_ = what;
    }
}

std::optional<std::string> job_world::run() {
    const absl::Time trouble_ends = now_ + trouble_time;
    const absl::Time end = trouble_ends + calm_time;
    while (now_ < end && !broken_ && (now_ < trouble_ends || !have_all_ended())) {
        now_ += tick;
        if (now_ < trouble_ends) {
            add_load();
            if (has_faults_) {
                add_faults();
            }
        }
        is_store_up_ = is_store_up_ || now_ >= store_back_at_;
        run_workers();
        elect();
        for (const auto& owner : owners_) {
            run_owner(*owner);
        }
        std::erase_if(owners_, [](const auto& owner) { return owner->is_over; });
    }
    for (const auto& [id, job] : jobs_) {
        if (!is_final(job.record.phase)) {
            fail("job " + id.value() + " never ended");
        }
    }
    return broken_;
}

bool job_world::have_all_ended() const {
    return std::all_of(jobs_.begin(), jobs_.end(),
                       [](const auto& entry) { return is_final(entry.second.record.phase); });
}

void job_world::add_load() {
    if (!is_store_up_ || !chance(60)) {
        return;
    }
    const job_id id("j" + std::to_string(next_job_++));
    stored_job job{.accepted_under = last_fence_};
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
    jobs_.emplace(id, std::move(job));
}

void job_world::crash(model_worker& worker) {
    worker.runs.clear();
    worker.late.clear();
    worker.is_alive = false;
}

void job_world::add_faults() {
    for (auto& [id, worker] : workers_) {
        if (worker.is_alive && chance(2)) {
            worker.cut_until = now_ + between(200, 14000);
            worker.cut_from = chance(500) ? last_fence_ + 1 : 0;
        }
    }
    if (chance(4)) {
        auto victim = workers_.begin();
        std::advance(victim, random_() % workers_.size());
        if (victim->second.is_alive) {
            crash(victim->second);
            model_worker next = victim->second;
            next = {};
            next.entry = victim->second.entry;
            next.entry.id = worker_id("w" + std::to_string(next_worker_++));
            next.started_at = now_;
            next.cut_until = now_ + between(500, 2000);
            workers_.emplace(next.entry.id, next);
        }
    }
    if (chance(3) && !owners_.empty()) {
        owners_.back()->is_over = true;
    }
    if (chance(3) && !owners_.empty()) {
        owners_.back()->frozen_until = now_ + between(300, 5000);
    }
    if (chance(3)) {
        owner_key_ = 0;  // Removed at once; no request of the owner shows it.
    }
    if (is_store_up_ && chance(2)) {
        is_store_up_ = false;
        store_back_at_ = now_ + between(300, 5000);
    }
}

void job_world::run_workers() {
    for (auto& [id, worker] : workers_) {
        if (!worker.is_alive) {
            continue;
        }
        std::vector<std::pair<task_name, run_outcome>> ended;
        for (const auto& [task, run] : worker.runs) {
            if (worker.clock_ms(now_) >= worker.held_until_ms) {
                ended.emplace_back(task, run_outcome::lapsed);
            } else if (now_ >= run.ends_at) {
                ended.emplace_back(task, run.end);
            }
        }
        for (const auto& [task, end] : ended) {
            worker.end_run(task, end);
        }
        std::vector<late_order> due;
        std::erase_if(worker.late, [&](const late_order& late) {
            if (late.at <= now_) {
                due.push_back(late);
            }
            return late.at <= now_;
        });
        for (const late_order& late : due) {
            start_at(worker, late.order, late.until_ms, late.fence);
        }
    }
}

void job_world::elect() {
    if (!is_store_up_) {
        return;
    }
    if (owner_key_ != 0 && now_ < owner_key_ends_) {
        return;
    }
    owner_key_ = ++last_fence_;
    owner_key_ends_ = now_ + limits_.time_to_live;
    owners_.push_back(std::make_unique<model_owner>(limits_, owner_key_, now_, term_++));
    model_owner& owner = *owners_.back();
    const queue_rules queue{.name = queue_name("q"), .pool = pool_name("p"), .max_attempts = max_attempts};
    owner.scheduler.set_rules({&queue, 1}, {});
    std::vector<worker_entry> known;
    for (const auto& [id, worker] : workers_) {
        // Crashed lives stay in the stored list for a while.
        known.push_back(worker.entry);
        owner.links[id].clock.assume_held_until(now_ + limits_.takeover_wait());
    }
    owner.scheduler.add_inherited_workers(known);
    take_jobs(owner);
    if (options_.skips_takeover_wait) {
        owner.scheduler.note_recovered(now_);
    }
}

void job_world::take_jobs(model_owner& owner) {
    for (const auto& [id, job] : jobs_) {
        if (owner.taken.insert(id).second) {
            owner.scheduler.add_job(id, job.job,
                                    {.accepted_at = now_, .is_inherited = job.accepted_under < owner.fence},
                                    &job.record);
        }
        if (job.is_cancelled) {
            owner.scheduler.cancel_job(id);
        }
    }
}

void job_world::run_owner(model_owner& owner) {
    if (owner.is_over || now_ < owner.frozen_until) {
        return;
    }
    if (!owner.lease.is_valid(now_)) {
        owner.is_over = true;
        return;
    }
    if (now_ >= owner.next_renewal && is_store_up_) {
        owner.next_renewal = now_ + renewal_interval;
        if (owner_key_ == owner.fence) {
            owner.lease.renew(now_);
            owner_key_ends_ = now_ + limits_.time_to_live;
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
        if (owner_key_ == owner.fence) {
            take_jobs(owner);
        }
    }
    for (auto& [id, worker] : workers_) {
        if (now_ >= owner.links[id].next_look) {
            owner.links[id].next_look = now_ + look_interval;
            look(owner, worker);
        }
    }
    const bool is_due = now_ >= owner.granted_at + limits_.takeover_wait();
    if (!owner.scheduler.is_recovered() && (is_due || owner.scheduler.is_every_worker_accounted_for())) {
        owner.scheduler.note_recovered(now_);
    }
    give_orders(owner, owner.scheduler.plan(now_, absl::ZeroDuration()));
    owner.scheduler.take_events();
    commit(owner);
}

void job_world::look(model_owner& owner, model_worker& worker) {
    owner_link& link = owner.links[worker.entry.id];
    const bool is_lost =
        !worker.is_alive || worker.is_cut_from(owner.fence, now_) || (has_faults_ && chance(15));
    const bool is_seen = owner.scheduler.workers().contains(worker.entry.id);
    if (!is_seen) {
        return;
    }
    if (is_lost) {
        link.is_answering = false;
        owner.scheduler.note_unreachable(worker.entry.id);
        if (!link.is_lapsed && now_ > link.clock.held_until()) {
            link.is_lapsed = true;
            owner.scheduler.note_lease_expired(worker.entry.id, now_);
        }
        return;
    }
    if (owner.fence < worker.fence) {
        owner.is_over = true;
        return;
    }
    worker.fence = owner.fence;
    if (link.clock.is_known() && link.is_answering) {
        const std::int64_t until = link.clock.hold(owner.lease.hold_until(now_));
        worker.held_until_ms = std::max(worker.held_until_ms, until);
    }
    link.clock.observe(worker.clock_ms(now_), now_);
    link.is_answering = true;
    link.is_lapsed = false;
    const worker_state& state = owner.scheduler.workers().at(worker.entry.id);
    const std::int64_t acknowledged = options_.acknowledges_early ? state.ends_seen : state.ends_stored;
    std::erase_if(worker.ends, [&](const listed_end& end) {
        if (end.sequence_number <= acknowledged && end.outcome == run_outcome::done) {
            acknowledged_done_.insert(end.task);
        }
        return end.sequence_number <= acknowledged;
    });
    worker_report report{.started_ms = worker.entry.started_ms, .ended = worker.ends};
    for (const auto& [task, run] : worker.runs) {
        report.running.push_back(
            {.task = task, .run = run.run, .progress_percent = static_cast<int>(random_() % 100)});
    }
    owner.scheduler.note_report(worker.entry.id, report, now_, now_);
}

void job_world::give_orders(model_owner& owner, const std::vector<worker_order>& orders) {
    for (const worker_order& order : orders) {
        give(owner, order);
    }
}

void job_world::give(model_owner& owner, const worker_order& order) {
    owner_link& link = owner.links[order.worker];
    model_worker& worker = workers_.at(order.worker);
    if (order.kind == worker_order::order_kind::start && (!link.is_answering || link.is_lapsed)) {
        owner.scheduler.note_start_outcome(order, start_outcome::not_sent, now_);
        return;
    }
    const bool is_lost =
        !worker.is_alive || worker.is_cut_from(owner.fence, now_) || (has_faults_ && chance(40));
    if (order.kind == worker_order::order_kind::stop) {
        if (!is_lost && owner.fence >= worker.fence) {
            worker.fence = owner.fence;
            worker.barred[order.task] = std::max(worker.barred[order.task], order.run);
            const auto run = worker.runs.find(order.task);
            if (run != worker.runs.end() && run->second.run <= order.run) {
                worker.end_run(order.task, run_outcome::stopped);
            }
        }
        owner.scheduler.note_stop_answer(order, !is_lost, now_);
        return;
    }
    const std::int64_t until = link.clock.hold(owner.lease.hold_until(now_));
    start_outcome outcome = start_outcome::unknown;
    if (!is_lost) {
        outcome = start_at(worker, order, until, owner.fence);
    } else if (worker.is_alive && chance(500)) {
        worker.late.push_back(
            {.at = now_ + between(20, 6000), .order = order, .until_ms = until, .fence = owner.fence});
    }
    if (outcome == start_outcome::unknown && options_.trusts_lost_starts) {
        outcome = start_outcome::not_sent;
    }
    owner.scheduler.note_start_outcome(order, outcome, now_);
}

start_outcome job_world::start_at(model_worker& worker, const worker_order& order, std::int64_t until_ms,
                                  fencing_token fence) {
    const std::int64_t cpu = jobs_.at(order.task.job)
                                 .job.specification.steps[static_cast<std::size_t>(order.task.step)]
                                 .per_task.cpu_millis;
    if (fence < worker.fence || until_ms <= worker.clock_ms(now_) || order.run <= worker.barred[order.task] ||
        worker.runs.contains(order.task)) {
        return start_outcome::refused;
    }
    std::int64_t used = cpu;
    for (const auto& [task, run] : worker.runs) {
        used += run.cpu_millis;
    }
    if (used > worker_cpu_millis) {
        return start_outcome::no_room;
    }
    worker.fence = fence;
    worker.held_until_ms = std::max(worker.held_until_ms, until_ms);
    check_start(worker, order);
    worker.runs[order.task] = {.run = order.run,
                               .ends_at = now_ + (chance(60) ? between(8000, 15000) : between(100, 1200)),
                               .end = has_faults_ && chance(20) ? run_outcome::failed : run_outcome::done,
                               .cpu_millis = cpu};
    return start_outcome::accepted;
}

void job_world::check_start(const model_worker& worker, const worker_order& order) {
    const std::string name = to_string(order.task) + " run " + std::to_string(order.run);
    for (const auto& [id, other] : workers_) {
        if (other.is_alive && id != worker.entry.id && other.runs.contains(order.task)) {
            fail(name + " starts on " + worker.entry.id.value() + " while it runs on " + id.value());
        }
    }
    if (stored_done_.contains(order.task) || jobs_.at(order.task.job).record.phase == job_phase::completed) {
        fail(name + " starts after its end was stored");
    }
    if (acknowledged_done_.contains(order.task)) {
        fail(name + " starts after its end was acknowledged");
    }
    const job_step& step =
        jobs_.at(order.task.job).job.specification.steps[static_cast<std::size_t>(order.task.step)];
    for (const int earlier : step.predecessors) {
        const int count =
            jobs_.at(order.task.job).job.specification.steps[static_cast<std::size_t>(earlier)].task_count;
        for (int index = 0; index < count; ++index) {
            if (!stored_done_.contains(
                    {.job = order.task.job, .occurrence = 0, .step = earlier, .index = index})) {
                fail(name + " starts before a step that it waits for");
            }
        }
    }
    if (failed_[order.task].size() >= max_attempts) {
        fail(name + " starts after all attempts");
    }
}

void job_world::commit(model_owner& owner) {
    const batch_scope scope = chance(600) ? batch_scope::urgent : batch_scope::all;
    const record_batch batch = owner.scheduler.take_batch(now_, scope);
    if (batch.is_empty()) {
        return;
    }
    const bool is_stored = is_store_up_ && owner_key_ == owner.fence;
    if (is_stored) {
        for (const record_batch::update& update : batch.updates) {
            const auto record = parse_job_record(update.record);
            stored_job& job = jobs_.at(update.job);
            if (is_final(job.record.phase)) {
                fail("the record of " + update.job.value() + " changes after its end");
            }
            job.record = *record;
            const auto mark = [&](int step, int index) {
                stored_done_.insert({.job = update.job, .occurrence = 0, .step = step, .index = index});
            };
            for (const auto& progress : record->steps) {
                for (const int index : progress.done) {
                    mark(progress.step, index);
                }
                for (const auto& failure : progress.failures) {
                    failed_
                        [{.job = update.job, .occurrence = 0, .step = progress.step, .index = failure.index}]
                            .insert(failure.run);
                }
            }
        }
    } else if (is_store_up_) {
        owner.is_over = true;
    }
    give_orders(owner, owner.scheduler.confirm_batch(batch, is_stored));
}

}  // namespace masticpass
