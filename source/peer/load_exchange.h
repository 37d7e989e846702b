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

// Reduces the service loads of heartbeats to those that changed. With 181 services the whole list is 13 KB,
// and sent to every peer each second it exceeds the bytes that control may use. Each peer has a numbered
// sequence of updates. A heartbeat states the number of its update, the update that it changes (0 for the
// whole list), and the last update received from the peer. It carries every load that changed after the last
// update that the peer has stated to hold, so the peer can apply it to that update and to any later one. The
// end that answered the last exchange and starts the next one does not know whether its answer arrived; it
// need not send the whole list then. Thread safety: all methods may be called from any thread.
class load_exchange {
public:
    // Leaves in a heartbeat to the peer at the address only what the peer does not hold.
    void reduce(const std::string& address, heartbeat& own);

    // Completes the service loads of a received heartbeat with those that were received before.
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
        // that holds an earlier one needs the whole list.
        std::uint64_t removal_update = 0;
        std::uint64_t sent_number = 0;
        // The last update that the peer stated to hold.
        std::uint64_t acknowledged_by_peer = 0;
        load_map received;
        std::uint64_t received_number = 0;
    };

    absl::Mutex mutex_;
    std::map<std::string, peer_state> peers_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass

#endif
