#include "peer/load_exchange.h"

#include <algorithm>
#include <utility>

namespace masticpass {

void load_exchange::reduce(const std::string& address, heartbeat& own) {
    load_map present;
    for (const service_load& load : own.services) {
        present.emplace(load.service, load);
    }
    const absl::MutexLock lock(&mutex_);
    peer_state& peer = peers_[address];
    own.loads_received = peer.received_number;
    const bool lost_service = std::any_of(peer.sent.begin(), peer.sent.end(),
                                          [&](const auto& known) { return !present.contains(known.first); });
    const bool peer_holds_last = peer.sent_number > 0 && peer.held_by_peer == peer.sent_number;
    own.loads_base = 0;
    if (peer_holds_last && !lost_service) {
        own.loads_base = peer.sent_number;
        std::erase_if(own.services, [&](const service_load& load) {
            const auto known = peer.sent.find(load.service);
            return known != peer.sent.end() && known->second == load;
        });
    }
    own.loads_number = ++peer.sent_number;
    peer.sent = std::move(present);
}

void load_exchange::complete(heartbeat& received) {
    const absl::MutexLock lock(&mutex_);
    peer_state& peer = peers_[received.address];
    if (peer.incarnation != received.incarnation) {
        peer.incarnation = received.incarnation;
        peer.received.clear();
        peer.received_number = 0;
    }
    peer.held_by_peer = received.loads_received;
    const bool is_newer = received.loads_number > peer.received_number;
    const bool is_whole = received.loads_base == 0;
    if (is_newer && (is_whole || received.loads_base == peer.received_number)) {
        if (is_whole) {
            peer.received.clear();
        }
        for (const service_load& load : received.services) {
            peer.received.insert_or_assign(load.service, load);
        }
        peer.received_number = received.loads_number;
    }
    received.services.clear();
    for (const auto& [service, load] : peer.received) {
        received.services.push_back(load);
    }
}

}  // namespace masticpass
