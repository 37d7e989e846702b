#include "standin/platform_faults.h"

namespace masticpass::standin {

namespace {

bool set_flag(bool& flag, const Json::Value& value) {
    if (!value.isBool()) {
        return false;
    }
    flag = value.asBool();
    return true;
}

bool set_count(int& count, const Json::Value& value) {
    if (!value.isInt() || value.asInt() < 0) {
        return false;
    }
    count = value.asInt();
    return true;
}

bool set_duration(absl::Duration& duration, const Json::Value& value) {
    int milliseconds = 0;
    if (!set_count(milliseconds, value)) {
        return false;
    }
    duration = absl::Milliseconds(milliseconds);
    return true;
}

bool set_member(platform_faults& faults, const std::string& name, const Json::Value& value) {
    if (name == "store_down") {
        return set_flag(faults.store_down, value);
    }
    if (name == "control_down") {
        return set_flag(faults.control_down, value);
    }
    if (name == "old_data") {
        return set_flag(faults.old_data, value);
    }
    if (name == "slow_ms") {
        return set_duration(faults.slow, value);
    }
    if (name == "vm_list_lag_ms") {
        return set_duration(faults.vm_list_lag, value);
    }
    if (name == "lose_write_responses") {
        return set_count(faults.lose_write_responses, value);
    }
    return name == "lose_reboot_responses" && set_count(faults.lose_reboot_responses, value);
}

bool consume_one(int& count) {
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

}  // namespace

platform_faults platform_fault_settings::current() const {
    const absl::MutexLock lock(&mutex_);
    return faults_;
}

tl::expected<platform_faults, std::string> platform_fault_settings::change(const Json::Value& members) {
    const absl::MutexLock lock(&mutex_);
    platform_faults changed = faults_;
    for (const std::string& name : members.getMemberNames()) {
        if (!set_member(changed, name, members[name])) {
            return tl::make_unexpected("unknown fault or invalid value: " + name);
        }
    }
    faults_ = changed;
    return changed;
}

bool platform_fault_settings::consume_lost_write_response() {
    const absl::MutexLock lock(&mutex_);
    return consume_one(faults_.lose_write_responses);
}

bool platform_fault_settings::consume_lost_reboot_response() {
    const absl::MutexLock lock(&mutex_);
    return consume_one(faults_.lose_reboot_responses);
}

platform_counters::counts& platform_counters::counts_of(std::string_view kind) {
    auto found = counts_.find(kind);
    if (found == counts_.end()) {
        found = counts_.emplace(kind, counts()).first;
    }
    return found->second;
}

void platform_counters::add_call(std::string_view kind, std::size_t bytes_received) {
    const absl::MutexLock lock(&mutex_);
    counts& entry = counts_of(kind);
    ++entry.calls;
    entry.bytes_received += static_cast<std::int64_t>(bytes_received);
}

void platform_counters::add_bytes_sent(std::string_view kind, std::size_t bytes) {
    const absl::MutexLock lock(&mutex_);
    counts_of(kind).bytes_sent += static_cast<std::int64_t>(bytes);
}

std::int64_t platform_counters::calls(std::string_view kind) const {
    const absl::MutexLock lock(&mutex_);
    const auto found = counts_.find(kind);
    return found == counts_.end() ? 0 : found->second.calls;
}

Json::Value platform_counters::to_json() const {
    const absl::MutexLock lock(&mutex_);
    Json::Value result(Json::objectValue);
    for (const auto& [kind, entry] : counts_) {
        Json::Value& value = result[kind];
        value["calls"] = static_cast<Json::Int64>(entry.calls);
        value["bytes_received"] = static_cast<Json::Int64>(entry.bytes_received);
        value["bytes_sent"] = static_cast<Json::Int64>(entry.bytes_sent);
    }
    return result;
}

}  // namespace masticpass::standin
