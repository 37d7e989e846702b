#include "decision/serving/instance_table.h"

#include <algorithm>

namespace masticpass {

void instance_table::update(absl::Span<const instance_capacity> instances) {
    for (entry& each : entries_) {
        each.slots = 0;
        each.accepts_work = false;
    }
    for (const instance_capacity& given : instances) {
        const auto [found, added] = index_.try_emplace(given.instance, entries_.size());
        if (added) {
            entries_.push_back({.instance = given.instance});
        }
        entries_[found->second].slots = given.slots;
        entries_[found->second].accepts_work = given.accepts_work;
    }
    std::erase_if(entries_, [](const entry& each) { return each.slots <= 0 && each.running == 0; });
    rebuild_index();
}

std::optional<vm_id> instance_table::choose(const std::optional<vm_id>& avoid) const {
    const entry* best = nullptr;
    const entry* avoided = nullptr;
    for (const entry& each : entries_) {
        if (each.free() == 0) {
            continue;
        }
        if (avoid.has_value() && each.instance == *avoid) {
            avoided = &each;
            continue;
        }
        if (best == nullptr || each.free() > best->free() ||
            (each.free() == best->free() && each.last_attempt_number < best->last_attempt_number)) {
            best = &each;
        }
    }
    if (best == nullptr) {
        best = avoided;
    }
    return best == nullptr ? std::nullopt : std::optional<vm_id>(best->instance);
}

void instance_table::attempt_started(const vm_id& instance) {
    entry& used = entries_[index_.at(instance)];
    ++used.running;
    used.last_attempt_number = ++attempt_count_;
}

void instance_table::attempt_ended(const vm_id& instance) {
    const std::size_t position = index_.at(instance);
    entry& used = entries_[position];
    --used.running;
    if (used.running == 0 && used.slots <= 0) {
        entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(position));
        rebuild_index();
    }
}

int instance_table::free_slots() const {
    int sum = 0;
    for (const entry& each : entries_) {
        sum += each.free();
    }
    return sum;
}

void instance_table::rebuild_index() {
    index_.clear();
    usable_slots_ = 0;
    for (std::size_t position = 0; position < entries_.size(); ++position) {
        index_.emplace(entries_[position].instance, position);
        usable_slots_ += entries_[position].accepts_work ? entries_[position].slots : 0;
    }
}

}  // namespace masticpass
