#include "routing/slot_ledger.h"

#include <algorithm>

#include "common/invariant.h"

namespace masticpass {

void slot_ledger::set_addresses(const std::map<vm_id, std::string>& addresses) {
    const absl::MutexLock lock(&mutex_);
    instances_.clear();
    for (const auto& [vm, address] : addresses) {
        instances_.emplace(address, vm);
    }
}

void slot_ledger::apply(const allotment_record& record) {
    const absl::MutexLock lock(&mutex_);
    const std::uint64_t before = allotment_.epoch();
    allotment_.apply(record);
    version_ += allotment_.epoch() != before ? 1 : 0;
}

void slot_ledger::announced(const incarnation_id& sender, const allotment_acknowledgement& announcement) {
    const absl::MutexLock lock(&mutex_);
    allotment_.record_acknowledgement(sender, announcement);
    allotment_acknowledgement& last = announced_[sender];
    if (last.epoch != announcement.epoch || last.pending_instances != announcement.pending_instances) {
        last = announcement;
        ++version_;
    }
}

void slot_ledger::proved_gone(const incarnation_id& incarnation) {
    const absl::MutexLock lock(&mutex_);
    allotment_.mark_terminated(incarnation);
    announced_.erase(incarnation);
    ++version_;
}

allotment_acknowledgement slot_ledger::announcement() {
    const absl::MutexLock lock(&mutex_);
    return allotment_.acknowledgement();
}

void slot_ledger::set_blocked(const std::set<vm_id>& blocked) {
    const absl::MutexLock lock(&mutex_);
    blocked_ = blocked;
}

std::uint64_t slot_ledger::epoch() const {
    const absl::MutexLock lock(&mutex_);
    return allotment_.epoch();
}

int slot_ledger::usable_slots(const vm_id& instance) {
    const absl::MutexLock lock(&mutex_);
    const auto abandoned = abandoned_.find(instance);
    const int taken = abandoned == abandoned_.end() ? 0 : abandoned->second;
    return std::max(0, allotment_.usable_slots(instance) - taken);
}

bool slot_ledger::acquire_slot(const vm_id& instance) {
    const absl::MutexLock lock(&mutex_);
    if (blocked_.contains(instance) || !allotment_.acquire_slot(instance)) {
        return false;
    }
    ++in_flight_[instance];
    return true;
}

void slot_ledger::release_slot(const vm_id& instance) {
    const absl::MutexLock lock(&mutex_);
    allotment_.release_slot(instance);
    request_ended(instance);
}

void slot_ledger::abandon_slot(const vm_id& instance) {
    const absl::MutexLock lock(&mutex_);
    request_ended(instance);
    ++abandoned_[instance];
    ++version_;
}

void slot_ledger::release_abandoned_slot(const vm_id& instance) {
    const absl::MutexLock lock(&mutex_);
    const auto found = abandoned_.find(instance);
    check_invariant(found != abandoned_.end(), "a slot that is released was abandoned");
    allotment_.release_slot(instance);
    if (--found->second == 0) {
        abandoned_.erase(found);
    }
    ++version_;
}

void slot_ledger::request_ended(const vm_id& instance) {
    const auto found = in_flight_.find(instance);
    if (--found->second == 0) {
        in_flight_.erase(found);
    }
}

bool slot_ledger::is_drained(const vm_id& instance) const {
    const absl::MutexLock lock(&mutex_);
    return blocked_.contains(instance) && !in_flight_.contains(instance);
}

int slot_ledger::in_flight() const {
    const absl::MutexLock lock(&mutex_);
    int total = 0;
    for (const auto& [instance, count] : in_flight_) {
        total += count;
    }
    return total;
}

bool slot_ledger::acquire_connection(std::string_view address) {
    const std::string key(address);
    const absl::MutexLock lock(&mutex_);
    const auto found = instances_.find(key);
    if (found == instances_.end() || !allotment_.acquire_connection(found->second)) {
        return false;
    }
    connections_[key].push_back(found->second);
    return true;
}

void slot_ledger::release_connection(std::string_view address) {
    const absl::MutexLock lock(&mutex_);
    const auto found = connections_.find(std::string(address));
    // Which of the connections closed is not known. Releasing the oldest count first never leaves the present
    // VM with fewer counted connections than it has.
    allotment_.release_connection(found->second.front());
    found->second.erase(found->second.begin());
    if (found->second.empty()) {
        connections_.erase(found);
    }
}

}  // namespace masticpass
