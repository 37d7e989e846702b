#include "agent/fleet_state.h"

#include <utility>

#include "agent/allotment_json.h"
#include "agent/record_keys.h"
#include "common/invariant.h"
#include "telemetry/log.h"

namespace masticpass {

void fleet_state::apply(const record& changed) {
    if (changed.key == configuration_key) {
        apply_configuration(changed);
    } else if (changed.key.starts_with(pool_key_prefix)) {
        apply_pool(changed);
    } else if (zone_of_allotment_key(changed.key)) {
        apply_allotment(changed);
    }
    ++version_;
}

void fleet_state::reject(const record& changed) {
    metrics_.count({"masticpass_unreadable_records_total", "", ""});
    log_event(log_severity::error, "record_unreadable",
              {{"key", changed.key}, {"revision", std::to_string(changed.revision)}});
}

void fleet_state::apply_configuration(const record& changed) {
    if (changed.value.empty()) {
        return;
    }
    auto parsed = parse_configuration_record(changed.value);
    if (!parsed) {
        reject(changed);
        return;
    }
    const std::int64_t revision = parsed->revision;
    {
        const absl::MutexLock lock(&mutex_);
        if (gate_.offer(revision) != gate_result::newer) {
            return;
        }
        check_invariant(!configuration_ || revision > configuration_->revision,
                        "the revision in force never decreases");
        configuration_ = std::make_shared<const configuration_record>(std::move(*parsed));
    }
    metrics_.set({"masticpass_configuration_revision", "", ""}, static_cast<double>(revision));
    log_event(log_severity::info, "configuration_in_force", {{"revision", std::to_string(revision)}});
}

void fleet_state::apply_pool(const record& changed) {
    tl::expected<pool_record, std::string> parsed;
    if (!changed.value.empty()) {
        parsed = parse_pool_record(changed.value);
        if (!parsed) {
            reject(changed);
            return;
        }
    }
    const absl::MutexLock lock(&mutex_);
    std::uint64_t& applied_revision = pool_revisions_[changed.key];
    if (changed.revision <= applied_revision) {
        return;
    }
    applied_revision = changed.revision;
    if (changed.value.empty()) {
        auto remaining = std::make_shared<pool_map>(*pools_);
        remaining->erase(pool_name(changed.key.substr(pool_key_prefix.size())));
        pools_ = std::move(remaining);
        return;
    }
    const pool_name pool = parsed->pool;
    auto updated = std::make_shared<pool_map>(*pools_);
    (*updated)[pool] = {static_cast<std::int64_t>(changed.revision), std::move(*parsed)};
    pools_ = std::move(updated);
}

void fleet_state::apply_allotment(const record& changed) {
    if (changed.value.empty()) {
        return;
    }
    auto parsed = parse_allotment_record(changed.value);
    if (!parsed) {
        reject(changed);
        return;
    }
    const absl::MutexLock lock(&mutex_);
    allotment_record& current = allotments_[*zone_of_allotment_key(changed.key)];
    if (parsed->epoch > current.epoch) {
        current = std::move(*parsed);
    }
}

std::shared_ptr<const configuration_record> fleet_state::configuration() const {
    const absl::MutexLock lock(&mutex_);
    return configuration_;
}

std::int64_t fleet_state::configuration_revision() const {
    const absl::MutexLock lock(&mutex_);
    return gate_.revision();
}

std::int64_t fleet_state::refused_older_revisions() const {
    const absl::MutexLock lock(&mutex_);
    return gate_.refused_older_count();
}

std::shared_ptr<const fleet_state::pool_map> fleet_state::pools() const {
    const absl::MutexLock lock(&mutex_);
    return pools_;
}

std::map<zone_name, allotment_record> fleet_state::allotments() const {
    const absl::MutexLock lock(&mutex_);
    return allotments_;
}

allotment_record fleet_state::own_allotment() const {
    const absl::MutexLock lock(&mutex_);
    const auto found = allotments_.find(zone_);
    return found == allotments_.end() ? allotment_record() : found->second;
}

}  // namespace masticpass
