#include "decision/membership/membership_view.h"

#include <algorithm>

#include "decision/membership/incarnation.h"

namespace masticpass {

bool membership_view::record_heartbeat(const entry_observation& observation, absl::Time now) {
    const std::string& id = observation.entry.value();
    const auto gone = gone_.find(id);
    if (gone != gone_.end() && !is_newer(observation.incarnation, gone->second.incarnation)) {
        return false;
    }
    const auto known = entries_.find(id);
    if (known == entries_.end()) {
        entries_.emplace(id, known_entry{.observation = observation, .last_heard = now});
        return true;
    }
    known_entry& entry = known->second;
    if (is_newer(entry.observation.incarnation, observation.incarnation)) {
        return false;
    }
    if (is_newer(observation.incarnation, entry.observation.incarnation)) {
        entry = {.observation = observation, .last_heard = now};
        return true;
    }
    const std::int64_t highest_revision =
        std::max(entry.observation.configuration_revision, observation.configuration_revision);
    entry.observation = observation;
    entry.observation.configuration_revision = highest_revision;
    entry.last_heard = std::max(entry.last_heard, now);
    return true;
}

void membership_view::record_gone(const entry_id& entry, const incarnation_id& incarnation,
                                  gone_proof proof) {
    const auto [gone, is_new] =
        gone_.try_emplace(entry.value(), gone_record{.incarnation = incarnation, .proof = proof});
    if (!is_new && is_newer(incarnation, gone->second.incarnation)) {
        gone->second = {.incarnation = incarnation, .proof = proof};
    }
}

std::optional<gone_proof> membership_view::proof_of_absence(const entry_id& entry,
                                                            const incarnation_id& incarnation) const {
    const auto gone = gone_.find(entry.value());
    if (gone != gone_.end()) {
        if (gone->second.incarnation == incarnation) {
            return gone->second.proof;
        }
        if (is_newer(gone->second.incarnation, incarnation)) {
            return gone_proof::newer_incarnation;
        }
    }
    const auto known = entries_.find(entry.value());
    if (known != entries_.end() && is_newer(known->second.observation.incarnation, incarnation)) {
        return gone_proof::newer_incarnation;
    }
    return std::nullopt;
}

std::optional<membership_view::known_entry> membership_view::find(const entry_id& entry) const {
    const auto known = entries_.find(entry.value());
    return known == entries_.end() ? std::nullopt : std::optional(known->second);
}

std::vector<membership_view::known_entry> membership_view::alive(const zone_name& zone, absl::Time now,
                                                                 absl::Duration silence_limit) const {
    std::vector<known_entry> result;
    for (const auto& [id, entry] : entries_) {
        const entry_observation& observation = entry.observation;
        const bool is_in_zone = zone.empty() || observation.zone == zone;
        const bool is_heard = entry.last_heard + silence_limit >= now;
        if (is_in_zone && is_heard && !proof_of_absence(observation.entry, observation.incarnation)) {
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
