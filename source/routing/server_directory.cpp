#include "routing/server_directory.h"

namespace masticpass {

void server_directory::update(const vm_listing& listing) {
    const absl::MutexLock lock(&mutex_);
    ++version_;
    for (const listed_vm& listed : listing.vms) {
        if (listed.state == vm_state::terminated) {
            servers_.erase(listed.vm);
            continue;
        }
        server_state& server = servers_[listed.vm];
        const bool rebooted = server.boot != listed.boot;
        if (rebooted) {
            server.leaving = false;
            server.unreachable = false;
            server.ejected = false;
        }
        server.vm = listed.vm;
        server.zone = listed.zone;
        server.rack = listed.rack;
        server.boot = listed.boot;
        server.address = listed.address;
        server.role = listed.pool;
        server.listed_live = listed.state == vm_state::live;
        server.leaving = server.leaving || listed.state == vm_state::leaving;
    }
}

void server_directory::mark_leaving(const vm_id& vm, const boot_id& boot) {
    const absl::MutexLock lock(&mutex_);
    const auto found = servers_.find(vm);
    if (found != servers_.end() && found->second.boot == boot) {
        set(found->second.leaving, true);
    }
}

void server_directory::set_unreachable(const vm_id& vm, bool unreachable) {
    const absl::MutexLock lock(&mutex_);
    const auto found = servers_.find(vm);
    if (found != servers_.end()) {
        set(found->second.unreachable, unreachable);
    }
}

void server_directory::set_ejected(const std::set<vm_id>& ejected) {
    const absl::MutexLock lock(&mutex_);
    for (auto& [vm, server] : servers_) {
        set(server.ejected, ejected.contains(vm));
    }
}

void server_directory::set(bool& flag, bool value) {
    if (flag != value) {
        flag = value;
        ++version_;
    }
}

std::optional<server_state> server_directory::find(const vm_id& vm) const {
    const absl::MutexLock lock(&mutex_);
    const auto found = servers_.find(vm);
    if (found == servers_.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<server_state> server_directory::servers() const {
    const absl::MutexLock lock(&mutex_);
    std::vector<server_state> result;
    result.reserve(servers_.size());
    for (const auto& [vm, server] : servers_) {
        result.push_back(server);
    }
    return result;
}

std::map<vm_id, std::string> server_directory::addresses() const {
    const absl::MutexLock lock(&mutex_);
    std::map<vm_id, std::string> result;
    for (const auto& [vm, server] : servers_) {
        result.emplace(vm, server.address);
    }
    return result;
}

}  // namespace masticpass
