#include "jobs/shard_owner.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "jobs/job_keys.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

constexpr absl::Duration renew_interval = absl::Milliseconds(500);
constexpr absl::Duration directory_interval = absl::Milliseconds(600);
// While VMs are on their way to a pool.
constexpr absl::Duration busy_directory_interval = absl::Milliseconds(120);
// Plans follow events at this distance at least, so that a burst of ends is planned once.
constexpr absl::Duration plan_pause = absl::Milliseconds(25);
constexpr absl::Duration plan_interval = absl::Milliseconds(200);
// Placements and results of this time share a write.
constexpr absl::Duration commit_pause = absl::Milliseconds(25);
constexpr absl::Duration commit_interval = absl::Milliseconds(500);
// Ends of tasks that nothing waits for are stored, and then acknowledged, at this distance.
constexpr absl::Duration full_commit_interval = absl::Milliseconds(250);
constexpr absl::Duration vm_interval = absl::Milliseconds(100);
// Each term's runs are numbered above those of all earlier terms, unless a task was started more often.
constexpr run_number runs_per_term = 64;
constexpr absl::Duration removal_interval = absl::Seconds(1);
// Between two log lines of the state of each pool.
constexpr absl::Duration show_interval = absl::Seconds(1);
constexpr std::size_t expired_per_round = 10;

}  // namespace

shard_owner::shard_owner(const shard_owner_peers& peers, const options& configured, const term& granted)
    : peers_(peers),
      options_(configured),
      term_(granted),
      ownership_(std::make_shared<ownership>(granted.key.created, configured.limits, granted.granted_at,
                                             peers.time)),
      writer_(peers.store, granted.key, peers.metrics),
      record_writer_(peers.store, configured.shard, granted.key, peers.metrics),
      pacing_{.cores = configured.processor_cores},
      scheduler_({.first_inherited_run = granted.number * runs_per_term + 1}),
      keeper_({.vms = peers.vms,
               .waves = peers.waves,
               .store = peers.store,
               .writer = writer_,
               .owner = *ownership_,
               .time = peers.time,
               .metrics = peers.metrics},
              configured.vms,
              {.name = granted.key.value,
               .shard = configured.shard,
               .earlier_orders_end =
                   granted.granted_at + configured.limits.time_to_live + configured.vm_order_gap,
               .order_memory = configured.limits.time_to_live + configured.vm_order_gap}),
      loop_work_(boost::asio::make_work_guard(loop_)),
      loop_thread_([this] { loop_.run(); }) {
    for (void (shard_owner::*loop)() :
         {&shard_owner::renew_loop, &shard_owner::input_loop, &shard_owner::directory_loop,
          &shard_owner::plan_loop, &shard_owner::commit_loop, &shard_owner::vm_loop}) {
        threads_.emplace_back([this, loop] { (this->*loop)(); });
    }
}

shard_owner::~shard_owner() {
    abandon();
    for (std::thread& thread : threads_) {
        thread.join();
    }
    // The links report to this object until the loop has ended.
    loop_.stop();
    loop_thread_.join();
    links_.clear();
}

void shard_owner::abandon() {
    ownership_->end();
    is_over_ = true;
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto& [id, link] : links_) {
        link->request_stop();
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
    // Results that workers have reported are stored, so that the next owner need not learn them again.
    const std::lock_guard<std::mutex> batch_lock(batch_mutex_);
    record_batch batch;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        batch = scheduler_.take_batch(absl::Now());
    }
    static_cast<void>(record_writer_.write(std::move(batch.updates)));
    const auto ended = peers_.store.end_lease(term_.key.lease);
    log_event(log_severity::info, "ownership_handed_over",
              {{"shard", std::to_string(options_.shard)},
               {"fence", std::to_string(ownership_->fence())},
               {"released", ended ? "true" : "false"}});
    abandon();
}

bool shard_owner::pause(absl::Duration duration) {
    std::unique_lock<std::mutex> lock(mutex_);
    ended_.wait_for(lock, absl::ToChronoMilliseconds(duration), [this] { return is_over_.load(); });
    return is_running();
}

void shard_owner::count(const char* name, const char* label, std::string_view value) {
    peers_.metrics.count({.name = name, .label = label, .label_value = std::string(value)});
}

void shard_owner::renew_loop() {
    // The first renewal follows at once, since taking the lease cost several calls.
    for (absl::Duration wait; pause(wait); wait = renew_interval) {
        // Whichever part finds it, no part must go on alone.
        if (writer_.is_superseded() || record_writer_.is_superseded()) {
            break;
        }
        const absl::Time sent_at = peers_.time.now();
        const auto renewed = peers_.store.renew_lease(term_.key.lease);
        if (renewed) {
            ownership_->renew(sent_at);
            continue;
        }
        count("masticpass_store_retries_total", "reason", to_string(renewed.error().kind));
        if (renewed.error().kind == store_error_kind::not_found) {
            log_event(
                log_severity::warning, "ownership_lapsed",
                {{"shard", std::to_string(options_.shard)}, {"fence", std::to_string(ownership_->fence())}});
            abandon();
        }
    }
    log_event(log_severity::info, "ownership_ended",
              {{"shard", std::to_string(options_.shard)}, {"fence", std::to_string(ownership_->fence())}});
    abandon();
}

void shard_owner::directory_loop() {
    while (is_running()) {
        if (is_loaded_) {
            read_directory();
        }
        const absl::Duration interval =
            keeper_.is_expecting_workers() ? busy_directory_interval : directory_interval;
        if (!pause(is_loaded_ ? interval : retry_pause)) {
            return;
        }
    }
}

void shard_owner::read_directory() {
    const auto entries = peers_.directory.list();
    if (!entries) {
        log_event(log_severity::warning, "directory_unreadable", {{"message", entries.error()}});
        return;
    }
    std::map<worker_id, std::string> next;
    for (const worker_entry& entry : *entries) {
        next[entry.id] = entry.address;
    }
    // The next owner asks every worker of the stored list, so a worker is stored before it gets a task.
    bool is_changed = false;
    std::string value;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& [id, worker] : scheduler_.workers()) {
            const auto known = known_workers_.find(id);
            if (!next.contains(id) && known != known_workers_.end() &&
                (!worker.runs.empty() || !scheduler_.is_recovered())) {
                next[id] = known->second;
            }
        }
        known_workers_ = std::move(next);
        value = known_workers_value();
        is_changed = value != stored_workers_;
    }
    if (is_changed) {
        if (!writer_.write({{.key = job_keys::workers(options_.shard), .value = value}}, {})) {
            return;
        }
        stored_workers_ = value;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::vector<worker_id> forgotten = scheduler_.set_workers(*entries, peers_.time.now());
        update_links(*entries, forgotten);
        close_links_of_gone_workers();
    }
    note_recovery();
    wake_planner();
}

void shard_owner::update_links(const std::vector<worker_entry>& entries,
                               const std::vector<worker_id>& forgotten) {
    for (const worker_id& id : forgotten) {
        close_link(id);
    }
    for (const worker_entry& entry : entries) {
        open_link(entry.id, entry.address);
    }
}

void shard_owner::close_link(const worker_id& worker) {
    const auto link = links_.find(worker);
    if (link != links_.end()) {
        link->second->request_stop();
        links_.erase(link);
    }
}

void shard_owner::close_links_of_gone_workers() {
    for (const auto& [id, worker] : scheduler_.workers()) {
        if (worker.is_terminated) {
            close_link(id);
        }
    }
}

void shard_owner::open_link(const worker_id& worker, const std::string& address) {
    const auto known = scheduler_.workers().find(worker);
    const bool is_gone = known != scheduler_.workers().end() && known->second.is_terminated;
    if (links_.contains(worker) || is_gone || is_over_) {
        return;
    }
    const absl::Time possibly_held_until =
        scheduler_.is_recovered() ? absl::InfinitePast() : term_.granted_at + options_.limits.takeover_wait();
    links_[worker] = worker_link::open(loop_, worker, peers_.workers.open(worker, address, loop_), ownership_,
                                       *this, peers_.time, possibly_held_until, worker_link::options{});
}

void shard_owner::note_recovery() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const absl::Time now = peers_.time.now();
    const bool is_due = now >= term_.granted_at + options_.limits.takeover_wait();
    if (scheduler_.is_recovered() || (!is_due && !scheduler_.is_every_worker_accounted_for())) {
        return;
    }
    scheduler_.note_recovered(now);
    log_event(log_severity::info, "ownership_recovered",
              {{"fence", std::to_string(ownership_->fence())},
               {"workers", std::to_string(scheduler_.workers().size())},
               {"after_ms", std::to_string(absl::ToInt64Milliseconds(now - term_.granted_at))},
               {"waited_for_leases", is_due ? "true" : "false"}});
}

void shard_owner::take_rules() {
    const auto rules = peers_.rules.rules();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (rules != nullptr && rules->version != rules_version_) {
        scheduler_.set_rules(rules->queues, rules->pools);
        rules_version_ = rules->version;
    }
}

void shard_owner::plan_loop() {
    while (pause(plan_pause)) {
        std::vector<worker_order> orders;
        std::vector<job_event> events;
        take_rules();
        {
            std::unique_lock<std::mutex> lock(mutex_);
            plan_needed_.wait_for(lock, absl::ToChronoMilliseconds(plan_interval),
                                  [this] { return must_plan_ || is_over_; });
            must_plan_ = false;
            if (!is_loaded_) {
                continue;
            }
            const absl::Time now = peers_.time.now();
            orders = scheduler_.plan(now, absl::Now() - now);
            events = scheduler_.take_events();
            dispatch(std::move(orders));
            if (scheduler_.has_changes()) {
                must_commit_ = true;
                commit_needed_.notify_one();
            }
        }
        log_events(events);
    }
}

void shard_owner::dispatch(std::vector<worker_order> orders) {
    std::vector<std::pair<std::shared_ptr<worker_link>, worker_order>> sent;
    for (worker_order& order : orders) {
        const auto link = links_.find(order.worker);
        if (link != links_.end()) {
            sent.emplace_back(link->second, std::move(order));
        } else if (order.kind == worker_order::order_kind::start) {
            scheduler_.note_start(order, start_outcome::not_sent, peers_.time.now());
        }
    }
    if (sent.empty()) {
        return;
    }
    boost::asio::post(loop_, [sent = std::move(sent)]() mutable {
        for (auto& [link, order] : sent) {
            link->send(std::move(order));
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
    while (pause(commit_pause)) {
        {
            std::unique_lock<std::mutex> lock(mutex_);
            commit_needed_.wait_for(lock, absl::ToChronoMilliseconds(commit_interval),
                                    [this] { return must_commit_ || is_over_; });
            must_commit_ = false;
        }
        if (is_loaded_ && is_running()) {
            commit_once();
            remove_expired();
        }
    }
}

void shard_owner::commit_once() {
    const std::lock_guard<std::mutex> batch_lock(batch_mutex_);
    record_batch batch;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const absl::Time now = peers_.time.now();
        const bool is_full = now >= next_full_commit_;
        batch = scheduler_.take_batch(absl::Now(), is_full ? batch_scope::all : batch_scope::urgent);
        next_full_commit_ = is_full ? now + full_commit_interval : next_full_commit_;
    }
    if (batch.is_empty()) {
        return;
    }
    const auto written = record_writer_.write(batch.updates);
    if (!written && written.error() == fenced_writer::failure::superseded) {
        abandon();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    dispatch(scheduler_.confirm_batch(batch, written.has_value()));
    must_commit_ = must_commit_ || !written;
}

void shard_owner::remove_expired() {
    std::vector<std::pair<job_id, queue_name>> expired;
    std::vector<std::string> removals;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (peers_.time.now() < next_removal_) {
            return;
        }
        next_removal_ = peers_.time.now() + removal_interval;
        expired = scheduler_.take_expired(absl::Now() - options_.retention, expired_per_round);
        removals = std::exchange(settled_wishes_, {});
    }
    for (const auto& [job, queue] : expired) {
        removals.push_back(job_keys::accepted(job));
        removals.push_back(job_keys::cancelled(job));
        removals.push_back(job_keys::record(queue, job));
    }
    if (!removals.empty() && !writer_.write({}, std::move(removals))) {
        // The next owner finds them, since they are still stored.
        log_event(log_severity::warning, "removal_failed", {{"jobs", std::to_string(expired.size())}});
    }
}

void shard_owner::vm_loop() {
    while (pause(vm_interval)) {
        if (!is_loaded_) {
            continue;
        }
        keeper_.observe(scheduler_, mutex_);
        count_busy_workers();
        note_recovery();
        if (const auto rules = peers_.rules.rules()) {
            keeper_.run_once(scheduler_, mutex_, *rules);
        }
        show_pools();
    }
}

void shard_owner::count_busy_workers() {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto& workers = scheduler_.workers();
    busy_workers_ = static_cast<std::size_t>(std::count_if(
        workers.begin(), workers.end(), [](const auto& entry) { return !entry.second.runs.empty(); }));
}

void shard_owner::show_pools() {
    const absl::Time now = peers_.time.now();
    if (now < next_show_) {
        return;
    }
    next_show_ = now + show_interval;
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<pool_name, int> workers;
    for (const auto& [id, worker] : scheduler_.workers()) {
        workers[worker.entry.pool] += worker.accepts_tasks(now) ? 1 : 0;
    }
    for (const auto& [pool, load] : scheduler_.loads()) {
        peers_.metrics.set(
            {.name = "masticpass_pool_waiting_tasks", .label = "pool", .label_value = pool.value()},
            load.waiting_tasks);
        log_event(log_severity::info, "pool_state",
                  {{"pool", pool.value()},
                   {"workers", std::to_string(workers[pool])},
                   {"placed_cpu_millis", std::to_string(load.placed.cpu_millis)},
                   {"waiting_cpu_millis", std::to_string(load.waiting.cpu_millis)},
                   {"waiting_tasks", std::to_string(load.waiting_tasks)}});
    }
}

void shard_owner::wake_planner() {
    const std::lock_guard<std::mutex> lock(mutex_);
    must_plan_ = true;
    plan_needed_.notify_one();
}

}  // namespace masticpass
