#include "agent/service_table_agent.h"

#include <set>
#include <utility>

namespace masticpass {

namespace {

constexpr absl::Duration update_interval = absl::Milliseconds(100);

bool is_to_be_drained(const pool_vm& vm) {
    return vm.phase != vm_phase::serving;
}

}  // namespace

service_table_agent::service_table_agent(const settings& configured, const fleet_state& fleet,
                                         const server_directory& directory, slot_quota& quota,
                                         request_router& router, std::function<bool()> has_fresh_pools)
    : configured_(configured),
      fleet_(fleet),
      directory_(directory),
      quota_(quota),
      router_(router),
      has_fresh_pools_(std::move(has_fresh_pools)),
      thread_(update_interval, [this] { update(); }) {}

void service_table_agent::update() {
    are_pools_fresh_ = are_pools_fresh_ || has_fresh_pools_();
    // Read before the inputs, so that a change during the update causes another update.
    const input_versions current = current_versions();
    if (applied_versions_ == current) {
        return;
    }
    applied_versions_ = current;
    const auto pools = fleet_.pools();
    quota_.apply(fleet_.own_allotment());
    update_quota(*pools);
    if (const auto configuration = fleet_.configuration()) {
        router_.set_services(build_services(*configuration, *pools));
    }
}

service_table_agent::input_versions service_table_agent::current_versions() const {
    return {fleet_.version(), directory_.version(), quota_.version(), are_pools_fresh_};
}

void service_table_agent::update_quota(const std::map<pool_name, stored_pool_record>& pools) {
    quota_.set_addresses(directory_.addresses());
    std::set<vm_id> blocked;
    std::vector<drain_acknowledgement> draining;
    for (const auto& [pool, stored] : pools) {
        for (const auto& [id, vm] : stored.record.vms) {
            if (vm.zone == configured_.entry.zone && is_to_be_drained(vm)) {
                blocked.insert(id);
                draining.push_back({id, vm.operation});
            }
        }
    }
    quota_.set_blocked(blocked);
    const absl::MutexLock lock(&mutex_);
    draining_ = std::move(draining);
}

std::vector<drain_acknowledgement> service_table_agent::drained() const {
    std::vector<drain_acknowledgement> result;
    const absl::MutexLock lock(&mutex_);
    for (const drain_acknowledgement& acknowledgement : draining_) {
        if (!acknowledgement.operation.empty() && quota_.is_drained(acknowledgement.vm)) {
            result.push_back(acknowledgement);
        }
    }
    return result;
}

std::vector<routed_service> service_table_agent::build_services(
    const configuration_record& configuration, const std::map<pool_name, stored_pool_record>& pools) {
    std::vector<routed_service> result;
    for (const auto& [name, section] : configuration.configuration.services) {
        routed_service service;
        service.service = name;
        service.urgent = section.urgent;
        service.scheduler.estimator.maximum_short_run_time = absl::Milliseconds(section.interactive_ms);
        service.scheduler.maximum_queue_items = configured_.limits.queue_items;
        service.scheduler.maximum_queue_bytes = configured_.limits.queue_bytes;
        service.instances = build_instances(section.pool, pools);
        result.push_back(std::move(service));
    }
    return result;
}

std::vector<instance_capacity> service_table_agent::build_instances(
    const pool_name& pool, const std::map<pool_name, stored_pool_record>& pools) {
    std::vector<instance_capacity> result;
    const auto stored = pools.find(pool);
    if (stored == pools.end()) {
        return result;
    }
    for (const auto& [id, vm] : stored->second.record.vms) {
        const auto server = directory_.find(id);
        if (!server || server->zone != configured_.entry.zone) {
            continue;
        }
        const bool accepts = are_pools_fresh_ && vm.phase == vm_phase::serving && server->accepts_work() &&
                             server->role == pool;
        result.push_back({id, quota_.usable_slots(id), accepts});
    }
    return result;
}

}  // namespace masticpass
