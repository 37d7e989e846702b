#include "decision/membership/membership_view.h"

#include <algorithm>

#include "decision/membership/incarnation.h"

namespace masticpass {

namespace {

// Limits the memory for an entry VM that restarts repeatedly. An incarnation that was dropped has no
// termination proof.
constexpr std::size_t maximum_incarnations = 32;

template <typename Map>
void drop_oldest(Map& map) {
    while (map.size() > maximum_incarnations) {
        map.erase(map.begin());
    }
}

}  // namespace

bool membership_view::record_heartbeat(const entry_observation& observation, absl::Time now) {
    const std::string& id = observation.entry.value();
    incarnations& all = incarnations_[id];
    all.observed.insert_or_assign(observation.incarnation, observation);
    drop_oldest(all.observed);
    if (find_termination_proof(observation.entry, observation.incarnation)) {
        return false;
    }
    const auto known = entries_.find(id);
    if (known == entries_.end()) {
        entries_.emplace(id, known_entry{.observation = observation, .last_heartbeat_at = now});
        return true;
    }
    known_entry& entry = known->second;
    const incarnation_id& present = entry.observation.incarnation;
    if (is_newer(present, observation.incarnation) && !find_termination_proof(observation.entry, present)) {
        return false;
    }
    if (observation.incarnation != present) {
        entry = {.observation = observation, .last_heartbeat_at = now};
        return true;
    }
    const std::int64_t highest_revision =
        std::max(entry.observation.configuration_revision, observation.configuration_revision);
    entry.observation = observation;
    entry.observation.configuration_revision = highest_revision;
    entry.last_heartbeat_at = std::max(entry.last_heartbeat_at, now);
    return true;
}

void membership_view::record_termination(const entry_id& entry, const incarnation_id& incarnation,
                                         termination_proof proof) {
    incarnations& all = incarnations_[entry.value()];
    all.terminated.try_emplace(incarnation, proof);
    drop_oldest(all.terminated);
}

std::optional<termination_proof> membership_view::find_termination_proof(
    const entry_id& entry, const incarnation_id& incarnation) const {
    const auto all = incarnations_.find(entry.value());
    if (all == incarnations_.end()) {
        return std::nullopt;
    }
    const auto termination = all->second.terminated.find(incarnation);
    if (termination != all->second.terminated.end()) {
        return termination->second;
    }
    const auto known = all->second.observed.find(incarnation);
    if (known == all->second.observed.end()) {
        return std::nullopt;
    }
    for (const auto& [other, observation] : all->second.observed) {
        if (is_newer(other, incarnation) && observation.address == known->second.address) {
            return termination_proof::newer_incarnation;
        }
    }
    return std::nullopt;
}

std::vector<entry_observation> membership_view::possibly_running_of(const entry_id& entry) const {
    std::vector<entry_observation> result;
    const auto all = incarnations_.find(entry.value());
    if (all == incarnations_.end()) {
        return result;
    }
    for (const auto& [incarnation, observation] : all->second.observed) {
        if (!find_termination_proof(entry, incarnation)) {
            result.push_back(observation);
        }
    }
    return result;
}

std::vector<entry_observation> membership_view::possibly_running_at(const std::string& address) const {
    std::vector<entry_observation> result;
    for (const auto& [id, all] : incarnations_) {
        for (const entry_observation& observation : possibly_running_of(entry_id(id))) {
            if (observation.address == address) {
                result.push_back(observation);
            }
        }
    }
    return result;
}

std::optional<membership_view::known_entry> membership_view::find(const entry_id& entry) const {
    const auto known = entries_.find(entry.value());
    return known == entries_.end() ? std::nullopt : std::optional(known->second);
}

std::vector<membership_view::known_entry> membership_view::alive(const zone_name& zone, absl::Time now,
                                                                 absl::Duration heartbeat_timeout) const {
    std::vector<known_entry> result;
    for (const auto& [id, entry] : entries_) {
        const entry_observation& observation = entry.observation;
        const bool is_in_zone = zone.empty() || observation.zone == zone;
        const bool is_recent = entry.last_heartbeat_at + heartbeat_timeout >= now;
        if (is_in_zone && is_recent && !find_termination_proof(observation.entry, observation.incarnation)) {
            result.push_back(entry);
        }
    }
    return result;
}

std::vector<entry_id> entry_ids(const std::vector<membership_view::known_entry>& entries) {
    std::vector<entry_id> ids;
    ids.reserve(entries.size());
    for (const auto& entry : entries) {
        ids.push_back(entry.observation.entry);
    }
    return ids;
}

}  // namespace masticpass
