#include "peer/load_exchange.h"

#include <set>

namespace masticpass {

void load_exchange::reduce(const std::string& address, heartbeat& own) {
    const absl::MutexLock lock(&mutex_);
    peer_state& peer = peers_[address];
    own.loads_received = peer.received_number;
    own.loads_number = ++peer.sent_number;
    for (const service_load& load : own.services) {
        const auto [known, is_new] = peer.sent.try_emplace(load.service, sent_load{load, own.loads_number});
        if (!is_new && known->second.load != load) {
            known->second = {load, own.loads_number};
        }
    }
    if (peer.sent.size() > own.services.size()) {
        std::set<service_name> present;
        for (const service_load& load : own.services) {
            present.insert(load.service);
        }
        std::erase_if(peer.sent, [&](const auto& known) { return !present.contains(known.first); });
        peer.removal_update = own.loads_number;
    }
    own.loads_base = peer.acknowledged_by_peer >= peer.removal_update ? peer.acknowledged_by_peer : 0;
    if (own.loads_base > 0) {
        std::erase_if(own.services, [&](const service_load& load) {
            return peer.sent.at(load.service).changed_in_update <= own.loads_base;
        });
    }
}

void load_exchange::complete(heartbeat& received) {
    const absl::MutexLock lock(&mutex_);
    peer_state& peer = peers_[received.address];
    if (peer.incarnation != received.incarnation) {
        peer.incarnation = received.incarnation;
        peer.received.clear();
        peer.received_number = 0;
    }
    peer.acknowledged_by_peer = received.loads_received;
    const bool is_newer = received.loads_number > peer.received_number;
    const bool is_full = received.loads_base == 0;
    if (is_newer && (is_full || received.loads_base <= peer.received_number)) {
        if (is_full) {
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
