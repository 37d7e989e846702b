#include "routing/slot_quota.h"

#include <algorithm>

#include "common/invariant.h"

namespace masticpass {

void slot_quota::set_addresses(const std::map<vm_id, std::string>& addresses) {
    const absl::MutexLock lock(&mutex_);
    vms_by_address_.clear();
    for (const auto& [vm, address] : addresses) {
        vms_by_address_.emplace(address, vm);
    }
}

void slot_quota::apply(const allotment_record& record) {
    const absl::MutexLock lock(&mutex_);
    const std::uint64_t before = allotment_.epoch();
    allotment_.apply(record);
    version_ += allotment_.epoch() != before ? 1 : 0;
}

void slot_quota::record_acknowledgement(const incarnation_id& sender,
                                        const allotment_acknowledgement& acknowledgement) {
    const absl::MutexLock lock(&mutex_);
    allotment_.record_acknowledgement(sender, acknowledgement);
    allotment_acknowledgement& last = acknowledgements_[sender];
    if (last.epoch != acknowledgement.epoch || last.pending_instances != acknowledgement.pending_instances) {
        last = acknowledgement;
        ++version_;
    }
}

void slot_quota::mark_terminated(const incarnation_id& incarnation) {
    const absl::MutexLock lock(&mutex_);
    allotment_.mark_terminated(incarnation);
    acknowledgements_.erase(incarnation);
    ++version_;
}

allotment_acknowledgement slot_quota::acknowledgement() {
    const absl::MutexLock lock(&mutex_);
    return allotment_.acknowledgement();
}

void slot_quota::set_blocked(const std::set<vm_id>& blocked) {
    const absl::MutexLock lock(&mutex_);
    blocked_ = blocked;
}

std::uint64_t slot_quota::epoch() const {
    const absl::MutexLock lock(&mutex_);
    return allotment_.epoch();
}

int slot_quota::usable_slots(const vm_id& instance) {
    const absl::MutexLock lock(&mutex_);
    const auto abandoned = abandoned_slots_.find(instance);
    const int taken = abandoned == abandoned_slots_.end() ? 0 : abandoned->second;
    return std::max(0, allotment_.usable_slots(instance) - taken);
}

bool slot_quota::acquire_slot(const vm_id& instance) {
    const absl::MutexLock lock(&mutex_);
    if (blocked_.contains(instance) || !allotment_.acquire_slot(instance)) {
        return false;
    }
    ++in_flight_[instance];
    return true;
}

void slot_quota::release_slot(const vm_id& instance) {
    const absl::MutexLock lock(&mutex_);
    allotment_.release_slot(instance);
    request_ended(instance);
}

void slot_quota::abandon_slot(const vm_id& instance) {
    const absl::MutexLock lock(&mutex_);
    request_ended(instance);
    ++abandoned_slots_[instance];
    ++version_;
}

void slot_quota::release_abandoned_slot(const vm_id& instance) {
    const absl::MutexLock lock(&mutex_);
    const auto found = abandoned_slots_.find(instance);
    check_invariant(found != abandoned_slots_.end(), "a VM has abandoned slots when one of them is released");
    allotment_.release_slot(instance);
    if (--found->second == 0) {
        abandoned_slots_.erase(found);
    }
    ++version_;
}

void slot_quota::request_ended(const vm_id& instance) {
    const auto found = in_flight_.find(instance);
    if (--found->second == 0) {
        in_flight_.erase(found);
    }
}

bool slot_quota::is_drained(const vm_id& instance) const {
    const absl::MutexLock lock(&mutex_);
    return blocked_.contains(instance) && !in_flight_.contains(instance);
}

int slot_quota::in_flight() const {
    const absl::MutexLock lock(&mutex_);
    int total = 0;
    for (const auto& [instance, count] : in_flight_) {
        total += count;
    }
    return total;
}

bool slot_quota::acquire_connection(std::string_view address) {
    const std::string key(address);
    const absl::MutexLock lock(&mutex_);
    const auto found = vms_by_address_.find(key);
    if (found == vms_by_address_.end() || !allotment_.acquire_connection(found->second)) {
        return false;
    }
    connections_[key].push_back(found->second);
    return true;
}

void slot_quota::release_connection(std::string_view address) {
    const absl::MutexLock lock(&mutex_);
    const auto found = connections_.find(std::string(address));
    // It is not known which of the connections was closed. Releasing the oldest count first ensures that the
    // current VM never has fewer counted connections than open ones.
    allotment_.release_connection(found->second.front());
    found->second.erase(found->second.begin());
    if (found->second.empty()) {
        connections_.erase(found);
    }
}

}  // namespace masticpass
