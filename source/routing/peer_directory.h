#ifndef MASTICPASS_ROUTING_PEER_DIRECTORY_H
#define MASTICPASS_ROUTING_PEER_DIRECTORY_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include "peer/heartbeat.h"
#include "settings/settings.h"

namespace masticpass {

// An entry VM that a request can be forwarded to.
struct forward_target {
    entry_id entry;
    std::string address;
    // Time of a message there and back.
    absl::Duration distance;
};

// Chooses the peer for a request that finds no free slot here, from the free slots that peers reported.
// Thread safety: all methods may be called from any thread.
class peer_directory {
public:
    peer_directory(const entry_settings& own, const distance_settings& distances);

    // Takes a peer's heartbeat as its present state.
    void update(const heartbeat& beat);

    // A peer that does not answer gets nothing until its next heartbeat.
    void clear_free_slots(const entry_id& entry);

    // The nearest peer with a free slot for the service, most free slots first at equal distance. One of its
    // reported slots is taken, so that a burst between two heartbeats is not sent to one peer. nullopt if
    // there is none.
    std::optional<forward_target> choose(const service_name& service);

    // All known peers.
    std::vector<forward_target> all() const;

    // The entry VM with this incarnation, or the one that took over its identities; nullopt if neither is
    // known.
    std::optional<forward_target> find(const incarnation_id& incarnation) const;

private:
    struct peer_state {
        incarnation_id incarnation;
        forward_target target;
        bool stopping = false;
        std::vector<incarnation_id> taken_over;
        std::map<service_name, int> free_slots;
    };

    absl::Duration distance_to(const heartbeat& beat) const;

    const entry_settings own_;
    const distance_settings distances_;
    mutable absl::Mutex mutex_;
    std::map<entry_id, peer_state> peers_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass

#endif
