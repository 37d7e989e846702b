#include "routing/peer_directory.h"

#include <algorithm>

namespace masticpass {

peer_directory::peer_directory(const entry_settings& own, const distance_settings& distances)
    : own_(own), distances_(distances) {}

absl::Duration peer_directory::distance_to(const heartbeat& beat) const {
    if (beat.zone == own_.zone) {
        return distances_.same_zone;
    }
    return beat.region == own_.region ? distances_.other_zone : distances_.other_region;
}

void peer_directory::update(const heartbeat& beat) {
    const absl::MutexLock lock(&mutex_);
    peer_state& peer = peers_[beat.entry];
    peer.incarnation = beat.incarnation;
    peer.target = {beat.entry, beat.address, distance_to(beat)};
    peer.stopping = beat.stopping;
    peer.taken_over = beat.taken_over;
    peer.free_slots.clear();
    for (const service_load& load : beat.services) {
        // A peer with queued requests has no slot for a forwarded request, even if one is free at the moment.
        peer.free_slots[load.service] = load.queued > 0 ? 0 : load.free_slots;
    }
}

void peer_directory::clear_free_slots(const entry_id& entry) {
    const absl::MutexLock lock(&mutex_);
    const auto found = peers_.find(entry);
    if (found != peers_.end()) {
        found->second.free_slots.clear();
    }
}

std::optional<forward_target> peer_directory::choose(const service_name& service) {
    const absl::MutexLock lock(&mutex_);
    peer_state* best = nullptr;
    int best_free = 0;
    for (auto& [entry, peer] : peers_) {
        const auto found = peer.free_slots.find(service);
        if (peer.stopping || found == peer.free_slots.end() || found->second <= 0) {
            continue;
        }
        const bool is_nearer = best == nullptr || peer.target.distance < best->target.distance;
        const bool has_more_free_slots =
            best != nullptr && peer.target.distance == best->target.distance && found->second > best_free;
        if (is_nearer || has_more_free_slots) {
            best = &peer;
            best_free = found->second;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    --best->free_slots[service];
    return best->target;
}

std::vector<forward_target> peer_directory::all() const {
    const absl::MutexLock lock(&mutex_);
    std::vector<forward_target> result;
    for (const auto& [entry, peer] : peers_) {
        result.push_back(peer.target);
    }
    return result;
}

std::optional<forward_target> peer_directory::find(const incarnation_id& incarnation) const {
    const absl::MutexLock lock(&mutex_);
    const peer_state* issuer = nullptr;
    for (const auto& [entry, peer] : peers_) {
        if (std::find(peer.taken_over.begin(), peer.taken_over.end(), incarnation) != peer.taken_over.end()) {
            return peer.target;
        }
        if (peer.incarnation == incarnation) {
            issuer = &peer;
        }
    }
    return issuer == nullptr ? std::nullopt : std::optional(issuer->target);
}

}  // namespace masticpass
