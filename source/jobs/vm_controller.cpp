#include "jobs/vm_controller.h"

#include <algorithm>
#include <latch>

#include <boost/asio/post.hpp>
#include <json/json.h>

#include "decision/configuration/json_object_reader.h"
#include "telemetry/guarded_call.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

constexpr std::string_view wave_prefix = "masticpass/wave/";

// Key of the list of VMs to which an owner of the shard has recently sent orders.
std::string recent_orders_key(int shard) {
    return "masticpass/vm-orders/" + std::to_string(shard);
}

// Returns the stored state of a wave. `known_since` is wall-clock time, because the owners of a shard have no
// other clock in common.
std::string serialize_wave(const std::vector<vm_id>& maintained, absl::Time known_since) {
    Json::Value object(Json::objectValue);
    object["maintained"] = to_json_array(maintained);
    object["known_since_ms"] = Json::Int64(absl::ToUnixMillis(known_since));
    return write_json(object);
}

}  // namespace

std::string_view to_string(vm_order_outcome outcome) {
    switch (outcome) {
        case vm_order_outcome::done:
            return "done";
        case vm_order_outcome::busy:
            return "busy";
        case vm_order_outcome::refused:
            return "refused";
        case vm_order_outcome::unavailable:
            return "unavailable";
        case vm_order_outcome::unknown:
            return "unknown";
    }
    return "unknown";
}

bool vm_controller::load() {
    return load_waves() && load_recent_orders();
}

bool vm_controller::load_recent_orders() {
    const auto stored = dependencies_.store.read(recent_orders_key(term_.shard));
    if (!stored) {
        return stored.error().kind == store_error_kind::not_found;
    }
    configuration_problems problems;
    const Json::Value value = parse_json(stored->value).value_or(Json::Value(Json::objectValue));
    json_object_reader reader(value, stored->key, problems);
    const auto ordered = reader.texts("ordered");
    if (!ordered) {
        log_event(log_severity::error, "vm_orders_record_unreadable", {{"key", stored->key}});
        return true;
    }
    std::vector<vm_id> blocked;
    for (const std::string& vm : *ordered) {
        recent_orders_[vm_id(vm)] = term_.earlier_orders_expire_at;
        blocked.emplace_back(vm);
    }
    planner_.block(blocked, term_.earlier_orders_expire_at);
    return true;
}

bool vm_controller::record_orders(const std::vector<vm_order>& orders, absl::Time now) {
    std::erase_if(recent_orders_, [&](const auto& entry) { return entry.second < now; });
    for (const vm_order& order : orders) {
        recent_orders_[order.vm] = now + term_.order_record_retention;
    }
    std::vector<vm_id> ordered;
    for (const auto& [vm, until] : recent_orders_) {
        ordered.push_back(vm);
    }
    Json::Value object(Json::objectValue);
    object["ordered"] = to_json_array(ordered);
    return dependencies_.writer
        .write({{.key = recent_orders_key(term_.shard), .value = write_json(object)}}, {})
        .has_value();
}

bool vm_controller::load_waves() {
    const auto stored = dependencies_.store.read_prefix(wave_prefix);
    if (!stored) {
        return false;
    }
    for (const store_entry& entry : stored->entries) {
        configuration_problems problems;
        // `value` must outlive the reader, which refers to it.
        const Json::Value value = parse_json(entry.value).value_or(Json::Value(Json::objectValue));
        json_object_reader reader(value, entry.key, problems);
        const auto maintained = reader.texts("maintained");
        const auto known_since = reader.large_integer("known_since_ms");
        if (!maintained || !known_since) {
            log_event(log_severity::error, "wave_record_unreadable", {{"key", entry.key}});
            continue;
        }
        const wave_name wave(entry.key.substr(wave_prefix.size()));
        stored_waves_[wave].maintained_count = maintained->size();
        planner_.restore_wave(wave, to_identifiers<vm_id>(*maintained),
                              dependencies_.time.now() - (absl::Now() - absl::FromUnixMillis(*known_since)));
    }
    return true;
}

void vm_controller::read_waves(absl::Time now) {
    if (now < waves_read_at_ + options_.wave_list_interval) {
        return;
    }
    waves_read_at_ = now;
    const auto waves = dependencies_.waves.list();
    if (!waves) {
        log_event(log_severity::warning, "wave_list_failed", {{"message", waves.error()}});
        return;
    }
    planner_.set_waves(*waves, dependencies_.time.now());
}

void vm_controller::read_vms(absl::Time now) {
    if (now < vms_read_at_ +
                  (is_vm_change_in_progress_ ? options_.busy_vm_list_interval : options_.vm_list_interval)) {
        return;
    }
    vms_read_at_ = now;
    const auto vms = dependencies_.vms.list();
    if (!vms) {
        log_event(log_severity::warning, "vm_list_failed", {{"message", vms.error()}});
        return;
    }
    has_vm_list_ = true;
    planner_.set_vms(*vms, now);
}

void vm_controller::refresh_vms(job_scheduler& scheduler, std::mutex& mutex) {
    const absl::Time now = dependencies_.time.now();
    read_vms(now);
    if (!has_vm_list_) {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    for (const worker_id& worker : planner_.terminated_workers(scheduler)) {
        log_event(log_severity::info, "worker_terminated", {{"worker", worker.value()}});
        scheduler.handle_terminated(worker, now);
    }
}

void vm_controller::run_round(job_scheduler& scheduler, std::mutex& mutex, const job_rules& rules) {
    const absl::Time now = dependencies_.time.now();
    read_waves(now);
    if (!has_vm_list_) {
        return;
    }
    std::vector<vm_order> orders;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        orders = planner_.plan(scheduler, rules.pools, now, refill_order_tokens(now));
    }
    order_tokens_ -= static_cast<double>(orders.size());
    is_vm_change_in_progress_ = planner_.has_pending_orders();
    if (orders.empty() || record_orders(orders, now)) {
        send_orders(orders, scheduler, mutex);
    } else {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const vm_order& order : orders) {
            planner_.handle_order_outcome(order, false, scheduler);
        }
    }
    store_wave_states();
}

std::size_t vm_controller::refill_order_tokens(absl::Time now) {
    if (tokens_refilled_at_ == absl::InfinitePast()) {
        order_tokens_ = options_.order_burst;
    } else {
        order_tokens_ += options_.orders_per_second * absl::ToDoubleSeconds(now - tokens_refilled_at_);
    }
    order_tokens_ = std::min(order_tokens_, options_.order_burst);
    tokens_refilled_at_ = now;
    return static_cast<std::size_t>(std::max(order_tokens_, 0.0));
}

void vm_controller::send_orders(const std::vector<vm_order>& orders, job_scheduler& scheduler,
                                std::mutex& mutex) {
    std::atomic<std::size_t> next_index = 0;
    const auto send_remaining_orders = [&] {
        for (std::size_t index = next_index++; index < orders.size(); index = next_index++) {
            const vm_order& order = orders[index];
            if (!call_guarded("order-vm", [&] { send_order(order, scheduler, mutex); })) {
                // The order may have been sent.
                const std::lock_guard<std::mutex> lock(mutex);
                planner_.handle_order_outcome(order, std::nullopt, scheduler);
            }
        }
    };
    const std::size_t extra_thread_count =
        std::min(orders.size(), maximum_concurrent_orders) - std::min<std::size_t>(orders.size(), 1);
    std::latch running_threads(static_cast<std::ptrdiff_t>(extra_thread_count));
    for (std::size_t thread = 0; thread < extra_thread_count; ++thread) {
        boost::asio::post(threads_, [&send_remaining_orders, &running_threads] {
            send_remaining_orders();
            running_threads.count_down();
        });
    }
    send_remaining_orders();
    running_threads.wait();
}

void vm_controller::send_order(const vm_order& order, job_scheduler& scheduler, std::mutex& mutex) {
    const vm_order_issuer issuer{.name = term_.name, .fencing_token = dependencies_.owner.fencing_token()};
    vm_order_outcome outcome = vm_order_outcome::unavailable;
    if (dependencies_.owner.is_valid()) {
        outcome = order.is_move() ? dependencies_.vms.move(order.vm, order.target_pool, issuer)
                                  : dependencies_.vms.maintain(order.vm, order.wave, issuer);
    }
    dependencies_.metrics.count({.name = "masticpass_vm_orders_total",
                                 .label = "outcome",
                                 .label_value = std::string(to_string(outcome))});
    // The event is logged for every outcome, also if the VM was not moved or maintained.
    log_event(log_severity::info, order.is_move() ? "vm_moved" : "vm_maintained",
              {{"vm", order.vm.value()},
               {"target", order.is_move() ? order.target_pool.value() : order.wave.value()},
               {"fence", std::to_string(issuer.fencing_token)},
               {"outcome", std::string(to_string(outcome))}});
    const std::lock_guard<std::mutex> lock(mutex);
    const std::optional<bool> is_done = outcome == vm_order_outcome::unknown
                                            ? std::nullopt
                                            : std::optional(outcome == vm_order_outcome::done);
    planner_.handle_order_outcome(order, is_done, scheduler);
}

void vm_controller::store_wave_states() {
    std::vector<store_write> writes;
    std::vector<const wave_request*> reported;
    std::map<wave_name, stored_wave> next_stored_waves = stored_waves_;
    for (const wave_request& wave : planner_.waves()) {
        stored_wave& stored = next_stored_waves[wave.name];
        const wave_progress reported_before = stored.reported;
        update_stored_wave(wave, stored, writes);
        if (stored.reported != reported_before) {
            writes.push_back(
                dependencies_.waves.status_write(wave.name, stored.reported == wave_progress::completed));
            reported.push_back(&wave);
        }
    }
    if (writes.empty() || !dependencies_.writer.write(std::move(writes), {})) {
        return;
    }
    stored_waves_ = std::move(next_stored_waves);
    for (const wave_request* const wave : reported) {
        const stored_wave& stored = stored_waves_.at(wave->name);
        log_event(log_severity::info, "wave_reported",
                  {{"wave", wave->name.value()},
                   {"progress", stored.reported == wave_progress::completed ? "completed" : "running"},
                   {"maintained", std::to_string(*stored.maintained_count)},
                   {"vms", std::to_string(wave->vms.size())}});
    }
}

void vm_controller::update_stored_wave(const wave_request& wave, stored_wave& stored,
                                       std::vector<store_write>& writes) const {
    const bool is_new = !stored.maintained_count;
    const std::vector<vm_id> maintained = planner_.maintained(wave.name);
    if (is_new || maintained.size() != *stored.maintained_count) {
        const absl::Duration known_for = dependencies_.time.now() - planner_.known_since(wave.name);
        writes.push_back({.key = std::string(wave_prefix) + wave.name.value(),
                          .value = serialize_wave(maintained, absl::Now() - known_for)});
        stored.maintained_count = maintained.size();
    }
    const wave_progress progress = planner_.progress_of(wave);
    if (progress != wave_progress::unknown) {
        stored.reported = progress;
    } else if (is_new) {
        stored.reported = wave_progress::running;
    }
}

}  // namespace masticpass
