#include "agent/maintenance_agent.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include <absl/time/clock.h>

#include "agent/record_keys.h"
#include "decision/maintenance/move_transition.h"
#include "decision/maintenance/transition.h"
#include "telemetry/log.h"

namespace masticpass {

namespace {

constexpr absl::Duration round_interval = absl::Milliseconds(250);
// Interval of rounds while no operation or wave is in progress and no record changes. Only new observations
// can lead to an action then, and they take at least a second to arrive.
constexpr absl::Duration idle_interval = absl::Seconds(2);

bool has_operation_in_progress(const maintenance_view& view) {
    const auto is_running = [](const declared_wave& wave) { return wave.state == wave_state::running; };
    if (std::any_of(view.waves.begin(), view.waves.end(), is_running)) {
        return true;
    }
    for (const auto& [pool, stored] : view.pools) {
        for (const auto& [vm, state] : stored.record.vms) {
            if (state.phase != vm_phase::serving) {
                return true;
            }
        }
    }
    return false;
}

pool_limits to_limits(const pool_section& section) {
    return {.budget = section.budget, .minimum_vms = section.minimum_vms};
}

wave_state to_state(declared_wave_state state) {
    switch (state) {
        case declared_wave_state::running:
            return wave_state::running;
        case declared_wave_state::paused:
            return wave_state::paused;
        case declared_wave_state::cancelled:
            return wave_state::cancelled;
    }
    return wave_state::paused;
}

void add_declarations(const fleet_configuration& configuration, maintenance_view& view) {
    for (const auto& [pool, section] : configuration.pools) {
        view.limits[pool] = to_limits(section);
    }
    for (const auto& [wave, section] : configuration.waves) {
        view.waves.push_back({wave, section.pools, to_state(section.state)});
    }
}

operations_error to_error(const transition_error& error) {
    switch (error.kind) {
        case transition_error_kind::budget_exceeded:
        case transition_error_kind::below_minimum:
            return {operations_error_code::budget_exhausted, error.message};
        case transition_error_kind::unknown_vm:
            return {operations_error_code::not_found, error.message};
        default:
            return {operations_error_code::conflict, error.message};
    }
}

}  // namespace

maintenance_agent::maintenance_agent(const incarnation_id& self, configuration_store& store,
                                     vm_control& control, record_cache& records, const fleet_state& fleet,
                                     fleet_observer& observer, metrics_registry& metrics,
                                     std::function<bool(const pool_name&)> is_own_pool)
    : self_(self),
      store_(store),
      control_(control),
      records_(records),
      fleet_(fleet),
      observer_(observer),
      metrics_(metrics),
      is_own_pool_(std::move(is_own_pool)),
      thread_(round_interval, [this] { run_round(); }) {}

maintenance_view maintenance_agent::make_view() {
    maintenance_view result;
    result.self = self_;
    result.next_sequence = next_sequence_;
    result.now = absl::Now();
    result.pools = *fleet_.pools();
    if (const auto configuration = fleet_.configuration()) {
        add_declarations(configuration->configuration, result);
    }
    result.vms = observer_.vms();
    result.drain = observer_.drains();
    return result;
}

void maintenance_agent::start_moves(const std::vector<move_request>& moves) {
    if (stopping_) {
        return;
    }
    const absl::MutexLock lock(&round_mutex_);
    for (const move_request& move : moves) {
        // Starting a move changes a record, so the next move needs a new view.
        try_start_move(move, make_view());
    }
}

void maintenance_agent::try_start_move(const move_request& move, const maintenance_view& view) {
    const auto stored = view.pools.find(move.source);
    const auto limits = view.limits.find(move.source);
    if (stored == view.pools.end() || limits == view.limits.end() || !view.limits.contains(move.target)) {
        return;
    }
    const change_id change(self_.value() + "." + std::to_string(next_sequence_++));
    const operation_context context{operation_id(change.value() + ":" + move.vm.value()), self_, view.now};
    auto started = start_move(stored->second.record, move.vm, move.target, context, limits->second,
                              observed_unavailable(stored->second.record, view.vms));
    if (!started) {
        metrics_.count({"masticpass_moves_total", "result", "not-started"});
        return;
    }
    started->last_change = change;
    started->last_writer = self_;
    if (write_pool(*started, stored->second.revision)) {
        metrics_.count({"masticpass_moves_total", "result", "started"});
        log_event(
            log_severity::info, "move_started",
            {{"vm", move.vm.value()}, {"source", move.source.value()}, {"target", move.target.value()}});
    }
}

void maintenance_agent::run_round() {
    if (stopping_ || !fleet_.configuration()) {
        return;
    }
    const absl::MutexLock lock(&round_mutex_);
    const std::uint64_t version = fleet_.version();
    const absl::Time now = absl::Now();
    if (is_idle_ && version == last_version_ && now >= last_round_ && now - last_round_ < idle_interval) {
        return;
    }
    const maintenance_view view = make_view();
    last_version_ = version;
    last_round_ = now;
    is_idle_ = !has_operation_in_progress(view);
    create_missing_records(view);
    std::vector<pool_name> own_pools;
    for (const auto& [pool, stored] : view.pools) {
        if (is_own_pool_(pool)) {
            own_pools.push_back(pool);
        }
    }
    for (const maintenance_action& action : plan_actions(view, own_pools)) {
        execute(action);
    }
}

void maintenance_agent::create_missing_records(const maintenance_view& view) {
    std::set<vm_id> assigned;
    for (const auto& [pool, stored] : view.pools) {
        for (const auto& [vm, state] : stored.record.vms) {
            assigned.insert(vm);
        }
    }
    const auto configuration = fleet_.configuration();
    for (const auto& [pool, section] : configuration->configuration.pools) {
        if (view.pools.contains(pool) || !is_own_pool_(pool)) {
            continue;
        }
        pool_record record;
        record.pool = pool;
        for (const vm_id& vm : section.vms) {
            const auto observed = view.vms.find(vm);
            if (observed == view.vms.end() || observed->second.role != pool || assigned.contains(vm)) {
                continue;
            }
            pool_vm& added = record.vms[vm];
            added.zone = observed->second.zone;
            added.rack = observed->second.rack;
            added.since = view.now;
            added.maintained_at = view.now;
        }
        record.last_change = change_id(self_.value() + "." + std::to_string(next_sequence_++));
        record.last_writer = self_;
        write_pool(record, 0);
    }
}

void maintenance_agent::execute(const maintenance_action& action) {
    if (const auto* const record = std::get_if<write_record>(&action)) {
        write(*record);
    } else if (const auto* const call = std::get_if<reboot_vm>(&action)) {
        reboot(*call);
    }
}

void maintenance_agent::write(const write_record& action) {
    ++next_sequence_;
    if (write_pool(action.record, action.expected_revision)) {
        log_event(log_severity::info, "pool_record_written",
                  {{"pool", action.pool.value()}, {"change", action.record.last_change.value()}});
    }
}

tl::expected<store_revision, store_error_kind> maintenance_agent::write_pool(const pool_record& record,
                                                                             std::int64_t expected_revision) {
    const std::string key = pool_key(record.pool);
    const std::string value = serialize(record);
    const auto written = store_.compare_and_swap(key, expected_revision, value, lease_id::none);
    if (written) {
        records_.offer({key, value, static_cast<std::uint64_t>(*written)});
        return *written;
    }
    metrics_.count(
        {"masticpass_pool_write_failures_total", "reason", std::string(to_string(written.error().kind))});
    // After a conflict or an unknown outcome, the next round decides from the current record. The same write
    // is never repeated: if it took effect, the current record contains it.
    if (const auto current = store_.read(key)) {
        records_.offer({key, current->value, static_cast<std::uint64_t>(current->revision)});
    }
    return tl::unexpected(written.error().kind);
}

operations_error maintenance_agent::drain_error(store_error_kind kind, const pool_name& pool,
                                                std::int64_t expected_revision) const {
    if (kind == store_error_kind::unknown_outcome) {
        return {operations_error_code::unknown_outcome, "the reservation was not confirmed by the store"};
    }
    if (kind != store_error_kind::conflict) {
        return {operations_error_code::unavailable,
                "the VM was not reserved: the store reported " + std::string(to_string(kind))};
    }
    std::string writer = "another entry VM";
    const auto pools = fleet_.pools();
    const auto found = pools->find(pool);
    // The writer is known only if the record could be read again after the conflict.
    if (found != pools->end() && found->second.revision > expected_revision) {
        writer = "the entry VM " + found->second.record.last_writer.value();
    }
    return {operations_error_code::conflict, "the VM was not reserved: the record of the pool " +
                                                 pool.value() + " was changed first by " + writer};
}

void maintenance_agent::reboot(const reboot_vm& action) {
    if (stopping_) {
        return;
    }
    const auto started = control_.reboot({action.vm, action.operation, action.expected_boot, action.pool});
    if (started) {
        metrics_.count({"masticpass_reboots_total", "", ""});
        log_event(log_severity::info, "reboot_started",
                  {{"vm", action.vm.value()}, {"operation", action.operation.value()}});
        return;
    }
    // The next round repeats the call. This is safe, because the reboot is conditional on the boot identity.
    metrics_.count({"masticpass_platform_errors_total", "call", "reboot"});
}

operations_result<drain_result> maintenance_agent::drain(const vm_id& vm, const operation_id& operation) {
    const absl::MutexLock lock(&round_mutex_);
    if (stopping_) {
        return tl::unexpected(
            operations_error{operations_error_code::unavailable, "this entry VM is stopping"});
    }
    const maintenance_view view = make_view();
    const auto owner = owner_of(vm, view.pools);
    if (!owner) {
        return tl::unexpected(
            operations_error{operations_error_code::not_found, "no pool has the VM " + vm.value()});
    }
    const stored_pool_record& stored = view.pools.at(*owner);
    const pool_vm& entry = stored.record.vms.at(vm);
    if (entry.phase == vm_phase::reserved || entry.phase == vm_phase::acting) {
        return drain_result{*owner, std::string(to_string(entry.phase))};
    }
    const auto limits = view.limits.find(*owner);
    if (limits == view.limits.end()) {
        return tl::unexpected(
            operations_error{operations_error_code::unavailable, "no budget is declared for the pool"});
    }
    auto reserved = reserve(stored.record, vm, wave_name(), {operation, self_, view.now}, limits->second,
                            observed_unavailable(stored.record, view.vms));
    if (!reserved) {
        return tl::unexpected(to_error(reserved.error()));
    }
    reserved->last_change = change_id(self_.value() + "." + std::to_string(next_sequence_++));
    reserved->last_writer = self_;
    const auto written = write_pool(*reserved, stored.revision);
    if (!written) {
        return tl::unexpected(drain_error(written.error(), *owner, stored.revision));
    }
    return drain_result{*owner, std::string(to_string(vm_phase::reserved))};
}

std::vector<wave_report> maintenance_agent::waves() {
    const absl::MutexLock lock(&round_mutex_);
    std::vector<wave_report> result;
    for (maintenance_action& action : wave_reports(make_view())) {
        result.push_back(std::get<wave_report>(std::move(action)));
    }
    return result;
}

}  // namespace masticpass
