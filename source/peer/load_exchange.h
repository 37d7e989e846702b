#ifndef MASTICPASS_PEER_LOAD_EXCHANGE_H
#define MASTICPASS_PEER_LOAD_EXCHANGE_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include "peer/heartbeat.h"

namespace masticpass {

// Reduces the service loads in heartbeats to those that changed. The full list of 181 services takes 13 KB,
// and sending it to every peer each second would exceed the bytes that control may use. The updates to a peer
// are numbered. A heartbeat states the number of its update, the number of the update on which it is based (0
// for the full list), and the number of the last update received from the peer, which acknowledges that
// update. It contains every load that changed after the last update that the peer has acknowledged, so the
// peer can apply it to that update and to any later one. An entry VM that responded to the last exchange and
// starts the next one does not know whether its response arrived, and need not send the full list then.
// Thread safety: all methods may be called from any thread.
class load_exchange {
public:
    // Numbers the update in a heartbeat to the peer at `address`, and removes the loads that the peer already
    // has.
    void reduce(const std::string& address, heartbeat& own);

    // Completes the service loads of a received heartbeat with those received before.
    void complete(heartbeat& received);

private:
    using load_map = std::map<service_name, service_load>;

    struct sent_load {
        service_load load;
        // The update in which it last changed.
        std::uint64_t changed_in_update = 0;
    };

    struct peer_state {
        incarnation_id incarnation;
        std::map<service_name, sent_load> sent;
        // The update in which a service was last removed. Updates do not name removed services, so a peer
        // that has acknowledged only an earlier update needs the full list.
        std::uint64_t removal_update = 0;
        std::uint64_t sent_number = 0;
        // The last update that the peer has acknowledged.
        std::uint64_t acknowledged_by_peer = 0;
        load_map received;
        std::uint64_t received_number = 0;
    };

    absl::Mutex mutex_;
    std::map<std::string, peer_state> peers_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass

#endif
