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
// Minimum time between two plans, so that a burst of run ends leads to only one plan.
constexpr absl::Duration minimum_plan_interval = absl::Milliseconds(25);
// Interval of plans while no event requires one.
constexpr absl::Duration maximum_plan_interval = absl::Milliseconds(200);
constexpr absl::Duration vm_control_interval = absl::Milliseconds(100);
// Records of earlier versions do not say which run numbers were used. The first run number of a term for
// their jobs is above those of a task that was started at most this often in each earlier term.
constexpr run_number run_numbers_per_term = 64;
// Interval of the log events with the state of each pool.
constexpr absl::Duration pool_report_interval = absl::Seconds(1);

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
    const bool are_results_stored = record_writer_.write(std::move(batch.updates)).has_value();
    const auto ended = dependencies_.store.revoke_lease(term_.key.lease);
    log_event(log_severity::info, "ownership_handed_over",
              {{"shard", std::to_string(options_.shard)},
               {"fence", std::to_string(ownership_->fencing_token())},
               {"results_stored", are_results_stored ? "true" : "false"},
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
