#include "jobs/shard_owner.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/post.hpp>

#include "jobs/job_keys.h"
#include "telemetry/guarded_call.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

// Interval of renewals of the owner's lease.
constexpr absl::Duration renew_interval = absl::Milliseconds(500);
// Interval of directory reads while no VM moves or is maintained.
constexpr absl::Duration directory_interval = absl::Milliseconds(600);
// Interval of directory reads while VMs move or are maintained, so that new workers get tasks soon.
constexpr absl::Duration busy_directory_interval = absl::Milliseconds(120);
// Minimum time between two plans, so that a burst of run ends leads to only one plan.
constexpr absl::Duration minimum_plan_interval = absl::Milliseconds(25);
// Interval of plans while no event requires one.
constexpr absl::Duration maximum_plan_interval = absl::Milliseconds(200);
// Minimum time between two commits, so that placements and results within this time are written together.
constexpr absl::Duration minimum_commit_interval = absl::Milliseconds(25);
// Interval of commits while no event requires one.
constexpr absl::Duration maximum_commit_interval = absl::Milliseconds(500);
// Interval of commits of all changed records. The commits between them contain only the urgent records. The
// ends of tasks that no other task waits for are therefore stored, and then acknowledged, at this interval.
constexpr absl::Duration full_commit_interval = absl::Milliseconds(250);
constexpr absl::Duration vm_control_interval = absl::Milliseconds(100);
// Records of earlier versions do not say which run numbers were used. The first run number of a term for
// their jobs is above those of a task that was started at most this often in each earlier term.
constexpr run_number run_numbers_per_term = 64;
// Interval at which the keys of expired jobs are removed.
constexpr absl::Duration removal_interval = absl::Seconds(1);
// Interval of the log events with the state of each pool.
constexpr absl::Duration pool_report_interval = absl::Seconds(1);
constexpr std::size_t maximum_expired_jobs_per_removal = 10;
// Number of keys that the store has for one job.
constexpr std::size_t keys_per_job = 3;
// All keys of a job are removed in one transaction, so that no later owner finds only some of them.
static_assert(maximum_expired_jobs_per_removal * keys_per_job <=
              fenced_writer::maximum_entries_per_transaction);

}  // namespace

shard_owner::shard_owner(const shard_owner_dependencies& dependencies, const options& configured,
                         const term& granted)
    : dependencies_(dependencies),
      options_(configured),
      term_(granted),
      ownership_(std::make_shared<ownership>(granted.key.create_revision, configured.limits,
                                             granted.granted_at, dependencies.time)),
      writer_(dependencies.store, granted.key, dependencies.metrics),
      record_writer_(dependencies.store, configured.shard, granted.key, dependencies.metrics),
      poll_interval_policy_{.cores = configured.cpu_cores},
      scheduler_({.first_inherited_run_number = granted.number * run_numbers_per_term + 1}),
      vm_controller_(
          {.vms = dependencies.vms,
           .waves = dependencies.waves,
           .store = dependencies.store,
           .writer = writer_,
           .owner = *ownership_,
           .time = dependencies.time,
           .metrics = dependencies.metrics},
          configured.vms,
          {.name = granted.key.value,
           .shard = configured.shard,
           .earlier_orders_expire_at =
               granted.granted_at + configured.limits.time_to_live + configured.minimum_vm_order_interval,
           .order_record_retention = configured.limits.time_to_live + configured.minimum_vm_order_interval}),
      loop_work_(boost::asio::make_work_guard(loop_)),
      loop_thread_([this] { run_event_loop(); }) {
    using loop_function = void (shard_owner::*)();
    static constexpr std::array<std::pair<std::string_view, loop_function>, 6> loops = {
        {{"renew-lease", &shard_owner::renew_loop},
         {"read-inputs", &shard_owner::input_loop},
         {"read-directory", &shard_owner::directory_loop},
         {"plan", &shard_owner::plan_loop},
         {"commit", &shard_owner::commit_loop},
         {"control-vms", &shard_owner::vm_control_loop}}};
    for (const auto& [name, loop] : loops) {
        threads_.emplace_back([this, task = name, run = loop] {
            if (!call_guarded(task, [this, run] { (this->*run)(); })) {
                abandon();
            }
        });
    }
}

void shard_owner::run_event_loop() {
    while (!call_guarded("call-workers", [this] { loop_.run(); })) {
        abandon();
    }
}

shard_owner::~shard_owner() {
    abandon();
    for (std::thread& thread : threads_) {
        thread.join();
    }
    // The sessions call this object until the event loop has ended.
    loop_.stop();
    loop_thread_.join();
    sessions_.clear();
}

void shard_owner::abandon() {
    ownership_->end();
    has_ended_ = true;
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto& [id, session] : sessions_) {
        session->request_stop();
    }
    ended_.notify_all();
    plan_needed_.notify_all();
    commit_needed_.notify_all();
}

void shard_owner::hand_over() {
    if (!is_running()) {
        return;
    }
    ownership_->end();
    // Stores the results that workers have already reported, so that the next owner does not have to poll the
    // workers for them again.
    const std::lock_guard<std::mutex> batch_lock(batch_mutex_);
    record_batch batch;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        batch = scheduler_.take_batch(absl::Now());
    }
    static_cast<void>(record_writer_.write(std::move(batch.updates)));
    const auto ended = dependencies_.store.revoke_lease(term_.key.lease);
    log_event(log_severity::info, "ownership_handed_over",
              {{"shard", std::to_string(options_.shard)},
               {"fence", std::to_string(ownership_->fencing_token())},
               {"released", ended ? "true" : "false"}});
    abandon();
}

bool shard_owner::wait_while_running(absl::Duration duration) {
    std::unique_lock<std::mutex> lock(mutex_);
    ended_.wait_for(lock, absl::ToChronoMilliseconds(duration), [this] { return has_ended_.load(); });
    return is_running();
}

void shard_owner::count(const char* name, const char* label, std::string_view value) {
    dependencies_.metrics.count({.name = name, .label = label, .label_value = std::string(value)});
}

void shard_owner::renew_loop() {
    // The first renewal is sent immediately, because part of the lease has passed while the owner key was
    // created.
    for (absl::Duration wait; wait_while_running(wait); wait = renew_interval) {
        // The term ends, regardless of which of the two writers was superseded, so that neither of them
        // continues without the other.
        if (writer_.is_superseded() || record_writer_.is_superseded()) {
            break;
        }
        const absl::Time sent_at = dependencies_.time.now();
        const auto renewed = dependencies_.store.renew_lease(term_.key.lease);
        if (renewed) {
            ownership_->renew(sent_at);
            continue;
        }
        count("masticpass_store_retries_total", "reason", to_string(renewed.error().kind));
        if (renewed.error().kind == store_error_kind::not_found) {
            log_event(log_severity::warning, "ownership_lease_expired",
                      {{"shard", std::to_string(options_.shard)},
                       {"fence", std::to_string(ownership_->fencing_token())}});
            abandon();
        }
    }
    log_event(
        log_severity::info, "ownership_ended",
        {{"shard", std::to_string(options_.shard)}, {"fence", std::to_string(ownership_->fencing_token())}});
    abandon();
}

void shard_owner::directory_loop() {
    while (is_running()) {
        if (are_jobs_loaded_) {
            read_directory();
        }
        const absl::Duration interval =
            vm_controller_.is_expecting_workers() ? busy_directory_interval : directory_interval;
        if (!wait_while_running(are_jobs_loaded_ ? interval : retry_delay)) {
            return;
        }
    }
}

void shard_owner::read_directory() {
    const auto entries = dependencies_.directory.list();
    if (!entries) {
        log_event(log_severity::warning, "directory_read_failed", {{"message", entries.error()}});
        return;
    }
    std::map<worker_id, std::string> next_known_workers;
    for (const worker_entry& entry : *entries) {
        next_known_workers[entry.id] = entry.address;
    }
    // The next owner polls every worker of the stored list, so each worker is added to this list before it
    // gets a task.
    bool is_changed = false;
    std::string value;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& [id, worker] : scheduler_.workers()) {
            const auto known = known_workers_.find(id);
            if (!next_known_workers.contains(id) && known != known_workers_.end() &&
                (!worker.runs.empty() || !scheduler_.is_recovered())) {
                next_known_workers[id] = known->second;
            }
        }
        known_workers_ = std::move(next_known_workers);
        value = serialize_known_workers();
        is_changed = value != stored_known_workers_;
    }
    if (is_changed) {
        if (!writer_.write({{.key = job_keys::workers(options_.shard), .value = value}}, {})) {
            return;
        }
        stored_known_workers_ = value;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::vector<worker_id> forgotten = scheduler_.set_workers(*entries, dependencies_.time.now());
        update_sessions(*entries, forgotten);
        close_sessions_of_terminated_workers();
    }
    finish_recovery_if_due();
    request_plan();
}

void shard_owner::update_sessions(const std::vector<worker_entry>& entries,
                                  const std::vector<worker_id>& forgotten) {
    for (const worker_id& id : forgotten) {
        close_session(id);
    }
    for (const worker_entry& entry : entries) {
        open_session(entry.id, entry.address);
    }
}

void shard_owner::close_session(const worker_id& worker) {
    const auto session = sessions_.find(worker);
    if (session != sessions_.end()) {
        session->second->request_stop();
        sessions_.erase(session);
    }
}

void shard_owner::close_sessions_of_terminated_workers() {
    for (const auto& [id, worker] : scheduler_.workers()) {
        if (worker.is_terminated) {
            close_session(id);
        }
    }
}

void shard_owner::open_session(const worker_id& worker, const std::string& address) {
    const auto known = scheduler_.workers().find(worker);
    const bool is_terminated = known != scheduler_.workers().end() && known->second.is_terminated;
    if (sessions_.contains(worker) || is_terminated || has_ended_) {
        return;
    }
    const absl::Time possible_lease_end =
        scheduler_.is_recovered() ? absl::InfinitePast() : term_.granted_at + options_.limits.takeover_wait();
    sessions_[worker] = worker_session::open(
        loop_, worker, dependencies_.worker_channels.open(worker, address, loop_), ownership_, *this,
        dependencies_.time, possible_lease_end, worker_session::options{});
}

void shard_owner::finish_recovery_if_due() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const absl::Time now = dependencies_.time.now();
    const bool is_due = now >= term_.granted_at + options_.limits.takeover_wait();
    if (scheduler_.is_recovered() || !scheduler_.can_finish_recovery(is_due)) {
        return;
    }
    scheduler_.finish_recovery(now);
    log_event(log_severity::info, "ownership_recovered",
              {{"fence", std::to_string(ownership_->fencing_token())},
               {"workers", std::to_string(scheduler_.workers().size())},
               {"after_ms", std::to_string(absl::ToInt64Milliseconds(now - term_.granted_at))},
               {"waited_for_leases", is_due ? "true" : "false"}});
}

void shard_owner::update_rules() {
    const auto rules = dependencies_.rules.rules();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (rules != nullptr && rules->version != rules_version_) {
        scheduler_.set_rules(rules->queues, rules->pools);
        rules_version_ = rules->version;
    }
}

void shard_owner::plan_loop() {
    while (wait_while_running(minimum_plan_interval)) {
        std::vector<worker_order> orders;
        std::vector<job_event> events;
        update_rules();
        {
            std::unique_lock<std::mutex> lock(mutex_);
            plan_needed_.wait_for(lock, absl::ToChronoMilliseconds(maximum_plan_interval),
                                  [this] { return must_plan_ || has_ended_; });
            must_plan_ = false;
            if (!are_jobs_loaded_) {
                continue;
            }
            const absl::Time now = dependencies_.time.now();
            orders = scheduler_.plan(now, absl::Now() - now);
            events = scheduler_.take_events();
            dispatch_orders(std::move(orders));
            if (scheduler_.has_changes()) {
                must_commit_ = true;
                commit_needed_.notify_one();
            }
        }
        log_events(events);
    }
}

void shard_owner::dispatch_orders(std::vector<worker_order> orders) {
    std::vector<std::pair<std::shared_ptr<worker_session>, worker_order>> outgoing;
    for (worker_order& order : orders) {
        const auto session = sessions_.find(order.worker);
        if (session != sessions_.end()) {
            outgoing.emplace_back(session->second, std::move(order));
        } else if (order.kind == worker_order::order_kind::start) {
            scheduler_.handle_start_outcome(order, start_outcome::not_sent, dependencies_.time.now());
        }
    }
    if (outgoing.empty()) {
        return;
    }
    boost::asio::post(loop_, [outgoing = std::move(outgoing)]() mutable {
        for (auto& [session, order] : outgoing) {
            session->send(std::move(order));
        }
    });
}

void shard_owner::log_events(const std::vector<job_event>& events) {
    for (const job_event& event : events) {
        std::vector<log_field> fields{{"job", event.job.value()}};
        for (const auto& [name, value] : event.fields) {
            fields.push_back({name, value});
        }
        count("masticpass_job_events_total", "event", event.name);
        log_event(log_severity::info, event.name, fields);
    }
}

void shard_owner::commit_loop() {
    while (wait_while_running(minimum_commit_interval)) {
        {
            std::unique_lock<std::mutex> lock(mutex_);
            commit_needed_.wait_for(lock, absl::ToChronoMilliseconds(maximum_commit_interval),
                                    [this] { return must_commit_ || has_ended_; });
            must_commit_ = false;
        }
        if (are_jobs_loaded_ && is_running()) {
            commit_batch();
            remove_expired_jobs();
        }
    }
}

void shard_owner::commit_batch() {
    const std::lock_guard<std::mutex> batch_lock(batch_mutex_);
    record_batch batch;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const absl::Time now = dependencies_.time.now();
        const bool is_full_commit = now >= next_full_commit_;
        batch = scheduler_.take_batch(absl::Now(), is_full_commit ? batch_scope::all : batch_scope::urgent);
        next_full_commit_ = is_full_commit ? now + full_commit_interval : next_full_commit_;
    }
    if (batch.is_empty()) {
        return;
    }
    const auto written = record_writer_.write(batch.updates);
    if (!written && written.error() == fenced_writer::write_error::superseded) {
        abandon();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    dispatch_orders(scheduler_.confirm_batch(batch, written.has_value()));
    must_commit_ = must_commit_ || !written;
}

void shard_owner::remove_expired_jobs() {
    const std::unique_lock<std::mutex> inputs_lock(inputs_mutex_, std::try_to_lock);
    if (!inputs_lock) {
        return;
    }
    std::vector<std::pair<job_id, queue_name>> expired;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (dependencies_.time.now() < next_removal_) {
            return;
        }
        next_removal_ = dependencies_.time.now() + removal_interval;
        expired = scheduler_.expired_jobs(absl::Now() - options_.retention, maximum_expired_jobs_per_removal);
    }
    remove_obsolete_hand_over_requests();
    std::vector<std::string> removals;
    for (const auto& [job, queue] : expired) {
        removals.push_back(job_keys::accepted(job));
        removals.push_back(job_keys::cancel_request(job));
        removals.push_back(job_keys::record(queue, job));
    }
    if (removals.empty()) {
        return;
    }
    if (!writer_.write({}, std::move(removals))) {
        log_event(log_severity::warning, "removal_failed", {{"jobs", std::to_string(expired.size())}});
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [job, queue] : expired) {
        scheduler_.remove_job(job);
    }
}

void shard_owner::remove_obsolete_hand_over_requests() {
    std::set<std::string> obsolete;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        obsolete = obsolete_hand_over_requests_;
    }
    if (obsolete.empty() || !writer_.write({}, {obsolete.begin(), obsolete.end()})) {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const std::string& key : obsolete) {
        obsolete_hand_over_requests_.erase(key);
    }
}

void shard_owner::vm_control_loop() {
    while (wait_while_running(vm_control_interval)) {
        if (!are_jobs_loaded_) {
            continue;
        }
        vm_controller_.refresh_vms(scheduler_, mutex_);
        update_busy_worker_count();
        finish_recovery_if_due();
        if (const auto rules = dependencies_.rules.rules()) {
            vm_controller_.run_round(scheduler_, mutex_, *rules);
        }
        report_pools();
    }
}

void shard_owner::update_busy_worker_count() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto& workers = scheduler_.workers();
    busy_worker_count_ = static_cast<std::size_t>(std::count_if(
        workers.begin(), workers.end(), [](const auto& entry) { return !entry.second.runs.empty(); }));
}

void shard_owner::report_pools() {
    const absl::Time now = dependencies_.time.now();
    if (now < next_pool_report_) {
        return;
    }
    next_pool_report_ = now + pool_report_interval;
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<pool_name, int> workers;
    for (const auto& [id, worker] : scheduler_.workers()) {
        workers[worker.entry.pool] += worker.accepts_tasks(now) ? 1 : 0;
    }
    for (const auto& [pool, load] : scheduler_.loads()) {
        dependencies_.metrics.set(
            {.name = "masticpass_pool_waiting_tasks", .label = "pool", .label_value = pool.value()},
            load.waiting_tasks);
        log_event(log_severity::info, "pool_state",
                  {{"pool", pool.value()},
                   {"workers", std::to_string(workers[pool])},
                   {"placed_cpu_millis", std::to_string(load.placed_resources.cpu_millis)},
                   {"waiting_cpu_millis", std::to_string(load.waiting_resources.cpu_millis)},
                   {"waiting_tasks", std::to_string(load.waiting_tasks)}});
    }
}

void shard_owner::request_plan() {
    const std::lock_guard<std::mutex> lock(mutex_);
    must_plan_ = true;
    plan_needed_.notify_one();
}

}  // namespace masticpass
