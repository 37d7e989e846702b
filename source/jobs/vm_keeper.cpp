#include "jobs/vm_keeper.h"

#include <algorithm>
#include <latch>

#include <boost/asio/post.hpp>
#include <json/json.h>

#include "decision/configuration/json_object_reader.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

constexpr std::string_view wave_prefix = "masticpass/wave/";

std::string recent_orders_key(int shard) {
    return "masticpass/vm-orders/" + std::to_string(shard);
}

// Calendar time, since owners have no other clock in common.
std::string wave_value(const std::vector<vm_id>& maintained, absl::Time known_since) {
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

bool vm_keeper::load() {
    return load_waves() && load_recent_orders();
}

bool vm_keeper::load_recent_orders() {
    const auto stored = peers_.store.read(recent_orders_key(holder_.shard));
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
        recent_orders_[vm_id(vm)] = holder_.earlier_orders_end;
        blocked.emplace_back(vm);
    }
    planner_.block(blocked, holder_.earlier_orders_end);
    return true;
}

bool vm_keeper::record_orders(const std::vector<vm_order>& orders, absl::Time now) {
    std::erase_if(recent_orders_, [&](const auto& entry) { return entry.second < now; });
    for (const vm_order& order : orders) {
        recent_orders_[order.vm] = now + holder_.order_memory;
    }
    std::vector<vm_id> ordered;
    for (const auto& [vm, until] : recent_orders_) {
        ordered.push_back(vm);
    }
    Json::Value object(Json::objectValue);
    object["ordered"] = to_json_array(ordered);
    return peers_.writer.write({{.key = recent_orders_key(holder_.shard), .value = write_json(object)}}, {})
        .has_value();
}

bool vm_keeper::load_waves() {
    const auto stored = peers_.store.read_prefix(wave_prefix);
    if (!stored) {
        return false;
    }
    for (const store_entry& entry : stored->entries) {
        configuration_problems problems;
        // The reader refers to the value.
        const Json::Value value = parse_json(entry.value).value_or(Json::Value(Json::objectValue));
        json_object_reader reader(value, entry.key, problems);
        const auto maintained = reader.texts("maintained");
        const auto known_since = reader.large_integer("known_since_ms");
        if (!maintained || !known_since) {
            log_event(log_severity::error, "wave_record_unreadable", {{"key", entry.key}});
            continue;
        }
        planner_.restore_wave(wave_name(entry.key.substr(wave_prefix.size())),
                              to_identifiers<vm_id>(*maintained),
                              peers_.time.now() - (absl::Now() - absl::FromUnixMillis(*known_since)));
    }
    return true;
}

void vm_keeper::read_waves(absl::Time now) {
    if (now < waves_read_at_ + options_.wave_interval) {
        return;
    }
    waves_read_at_ = now;
    const auto waves = peers_.waves.list();
    if (!waves) {
        log_event(log_severity::warning, "waves_unreadable", {{"message", waves.error()}});
        return;
    }
    planner_.set_waves(*waves, now);
}

void vm_keeper::read_vms(absl::Time now) {
    if (now < vms_read_at_ + (is_busy_ ? options_.busy_list_interval : options_.list_interval)) {
        return;
    }
    vms_read_at_ = now;
    const auto vms = peers_.vms.list();
    if (!vms) {
        log_event(log_severity::warning, "vms_unreadable", {{"message", vms.error()}});
        return;
    }
    has_vms_ = true;
    planner_.set_vms(*vms, now);
}

void vm_keeper::observe(job_scheduler& scheduler, std::mutex& mutex) {
    const absl::Time now = peers_.time.now();
    read_vms(now);
    if (!has_vms_) {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    for (const worker_id& worker : planner_.terminated_workers(scheduler)) {
        log_event(log_severity::info, "worker_gone", {{"worker", worker.value()}});
        scheduler.note_gone(worker, now);
    }
}

void vm_keeper::run_once(job_scheduler& scheduler, std::mutex& mutex, const job_rules& rules) {
    const absl::Time now = peers_.time.now();
    read_waves(now);
    if (!has_vms_) {
        return;
    }
    std::vector<vm_order> orders;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        orders = planner_.plan(scheduler, rules.pools, now, refill_allowance(now));
    }
    allowance_ -= static_cast<double>(orders.size());
    is_busy_ = planner_.has_pending_orders();
    if (orders.empty() || record_orders(orders, now)) {
        give_all(orders, scheduler, mutex);
    } else {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const vm_order& order : orders) {
            planner_.note_outcome(order, false, scheduler);
        }
    }
    show_waves();
}

std::size_t vm_keeper::refill_allowance(absl::Time now) {
    if (allowance_at_ == absl::InfinitePast()) {
        allowance_ = options_.order_burst;
    } else {
        allowance_ += options_.orders_per_second * absl::ToDoubleSeconds(now - allowance_at_);
    }
    allowance_ = std::min(allowance_, options_.order_burst);
    allowance_at_ = now;
    return static_cast<std::size_t>(std::max(allowance_, 0.0));
}

void vm_keeper::give_all(const std::vector<vm_order>& orders, job_scheduler& scheduler, std::mutex& mutex) {
    std::atomic<std::size_t> next = 0;
    const auto give_rest = [&] {
        for (std::size_t index = next++; index < orders.size(); index = next++) {
            give(orders[index], scheduler, mutex);
        }
    };
    const std::size_t helpers =
        std::min(orders.size(), concurrent_orders) - std::min<std::size_t>(orders.size(), 1);
    std::latch open_helpers(static_cast<std::ptrdiff_t>(helpers));
    for (std::size_t helper = 0; helper < helpers; ++helper) {
        boost::asio::post(threads_, [&give_rest, &open_helpers] {
            give_rest();
            open_helpers.count_down();
        });
    }
    give_rest();
    open_helpers.wait();
}

void vm_keeper::give(const vm_order& order, job_scheduler& scheduler, std::mutex& mutex) {
    const vm_order_holder orderer{.name = holder_.name, .fence = peers_.owner.fence()};
    vm_order_outcome outcome = vm_order_outcome::unavailable;
    if (peers_.owner.is_valid()) {
        outcome = order.is_move() ? peers_.vms.move(order.vm, order.target_pool, orderer)
                                  : peers_.vms.maintain(order.vm, order.wave, orderer);
    }
    peers_.metrics.count({.name = "masticpass_vm_orders_total",
                          .label = "outcome",
                          .label_value = std::string(to_string(outcome))});
    log_event(log_severity::info, order.is_move() ? "vm_moved" : "vm_maintained",
              {{"vm", order.vm.value()},
               {"target", order.is_move() ? order.target_pool.value() : order.wave.value()},
               {"fence", std::to_string(orderer.fence)},
               {"outcome", std::string(to_string(outcome))}});
    const std::lock_guard<std::mutex> lock(mutex);
    const std::optional<bool> is_done = outcome == vm_order_outcome::unknown
                                            ? std::nullopt
                                            : std::optional(outcome == vm_order_outcome::done);
    planner_.note_outcome(order, is_done, scheduler);
}

void vm_keeper::show_waves() {
    std::vector<store_write> writes;
    std::map<wave_name, shown_wave> next = shown_;
    for (const wave_request& wave : planner_.waves()) {
        shown_wave& shown = next[wave.name];
        const std::vector<vm_id> maintained = planner_.maintained(wave.name);
        const bool is_completed = planner_.is_completed(wave);
        if (!shown.is_shown || maintained.size() != shown.maintained) {
            const absl::Duration known_for = peers_.time.now() - planner_.known_since(wave.name);
            writes.push_back({.key = std::string(wave_prefix) + wave.name.value(),
                              .value = wave_value(maintained, absl::Now() - known_for)});
        }
        if (!shown.is_shown || is_completed != shown.is_completed) {
            writes.push_back(peers_.waves.status(wave.name, is_completed));
        }
        shown = {.maintained = maintained.size(), .is_shown = true, .is_completed = is_completed};
    }
    if (!writes.empty() && peers_.writer.write(std::move(writes), {})) {
        shown_ = std::move(next);
    }
}

}  // namespace masticpass
