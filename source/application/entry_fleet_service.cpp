#include "application/entry_fleet_service.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include "telemetry/log.h"

namespace masticpass {

namespace {

std::string_view to_text(wave_status status) {
    switch (status) {
        case wave_status::waiting:
            return "waiting";
        case wave_status::running:
            return "running";
        case wave_status::paused:
            return "paused";
        case wave_status::paused_by_failures:
            return "paused_by_failures";
        case wave_status::cancelled:
            return "cancelled";
        case wave_status::ended:
            return "ended";
    }
    return "waiting";
}

std::string_view to_text(server_condition condition) {
    switch (condition) {
        case server_condition::leaving:
            return "leaving";
        case server_condition::unreachable:
            return "unreachable";
        case server_condition::ejected:
            return "ejected";
    }
    return "";
}

operations_error no_configuration() {
    return {operations_error_code::unavailable, "no configuration is in force yet"};
}

entry_view to_view(const heartbeat& beat, absl::Duration age) {
    entry_view view;
    view.entry = beat.entry;
    view.incarnation = beat.incarnation;
    view.zone = beat.zone;
    view.address = beat.address;
    view.configuration_revision = static_cast<std::int64_t>(beat.configuration_revision);
    view.is_store_reachable = beat.store_reachable;
    view.heartbeat_age = age;
    return view;
}

}  // namespace

entry_status entry_fleet_service::status() {
    const heartbeat own = dependencies_.own_heartbeat();
    entry_status result;
    result.entry = own.entry;
    result.incarnation = own.incarnation;
    result.zone = own.zone;
    result.version = MASTICPASS_VERSION;
    result.configuration_revision = dependencies_.fleet.configuration_revision();
    result.refused_older_revisions = dependencies_.fleet.refused_older_revisions();
    result.is_store_reachable = own.store_reachable;
    result.is_stopping = own.stopping;
    return result;
}

operations_result<configuration_view> entry_fleet_service::show_configuration() {
    const auto record = dependencies_.fleet.configuration();
    if (!record) {
        return tl::unexpected(no_configuration());
    }
    return configuration_view{record->revision, record->configuration};
}

operations_result<change_result> entry_fleet_service::propose_change(const configuration_change& change) {
    auto result = dependencies_.configuration.propose(change, stop_.get_token());
    if (result) {
        log_event(log_severity::info, "change_accepted",
                  {{"change", change.id.value()},
                   {"author", change.author},
                   {"revision", std::to_string(result->revision)}});
        dependencies_.membership.exchange_now();
    } else {
        log_event(
            log_severity::warning, "change_refused",
            {{"change", change.id.value()}, {"author", change.author}, {"reason", result.error().message}});
    }
    return result;
}

operations_result<pool_view> entry_fleet_service::show_pool(const pool_name& pool) {
    const auto pools_snapshot = dependencies_.fleet.pools();
    const fleet_state::pool_map& pools = *pools_snapshot;
    const auto found = pools.find(pool);
    if (found == pools.end()) {
        return tl::unexpected(operations_error{operations_error_code::not_found,
                                               "there is no record of the pool " + pool.value()});
    }
    std::map<vm_id, std::string> observed;
    std::vector<heartbeat> beats = dependencies_.membership.latest_heartbeats();
    beats.push_back(dependencies_.own_heartbeat());
    for (const heartbeat& beat : beats) {
        for (const server_observation& observation : beat.observations) {
            observed[observation.vm] = std::string(to_text(observation.condition));
        }
    }
    pool_view view;
    view.pool = pool;
    view.record_revision = found->second.revision;
    for (const auto& [id, vm] : found->second.record.vms) {
        pool_vm_view shown{id,       vm.zone,      vm.rack,      std::string(to_string(vm.phase)),
                           vm.since, observed[id], vm.operation, vm.wave};
        view.unavailable += is_unavailable_by_phase(vm) || !shown.observed.empty() ? 1 : 0;
        view.vms.push_back(std::move(shown));
    }
    return view;
}

std::vector<entry_view> entry_fleet_service::list_entries() {
    std::vector<entry_view> result;
    result.push_back(to_view(dependencies_.own_heartbeat(), absl::ZeroDuration()));
    std::map<entry_id, absl::Time> last_heartbeats;
    for (const auto& live_entry : dependencies_.membership.alive(zone_name())) {
        last_heartbeats[live_entry.observation.entry] = live_entry.last_heartbeat_at;
    }
    const absl::Time now = dependencies_.time_source.now();
    for (const heartbeat& beat : dependencies_.membership.latest_heartbeats()) {
        const auto found = last_heartbeats.find(beat.entry);
        result.push_back(
            to_view(beat, found == last_heartbeats.end() ? absl::ZeroDuration() : now - found->second));
    }
    std::sort(result.begin(), result.end(),
              [](const entry_view& left, const entry_view& right) { return left.entry < right.entry; });
    return result;
}

operations_result<wave_view> entry_fleet_service::show_wave(const wave_name& wave) {
    if (!dependencies_.fleet.configuration()) {
        return tl::unexpected(no_configuration());
    }
    for (const wave_report& report : dependencies_.maintenance.waves()) {
        if (report.wave == wave) {
            return wave_view{report.wave,         std::string(to_text(report.status)),
                             report.total,        report.done,
                             report.in_progress,  report.never_returned,
                             report.blocked_pools};
        }
    }
    return tl::unexpected(
        operations_error{operations_error_code::not_found, "no wave " + wave.value() + " is declared"});
}

operations_result<drain_result> entry_fleet_service::drain_vm(const vm_id& vm, const std::string& author,
                                                              const operation_id& operation) {
    log_event(log_severity::info, "drain_requested",
              {{"vm", vm.value()}, {"author", author}, {"operation", operation.value()}});
    return dependencies_.maintenance.drain(vm, operation);
}

}  // namespace masticpass
