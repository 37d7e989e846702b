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
    // Round-trip time of a message.
    absl::Duration distance;
};

// The other entry VMs as known from their heartbeats. For a request that finds no free slot on this entry VM,
// chooses the one to forward it to, according to the free slots that they reported.
// Thread safety: all methods may be called from any thread.
class peer_directory {
public:
    peer_directory(const entry_settings& own, const distance_settings& distances);

    // Replaces the known state of a peer with that in its heartbeat.
    void update(const heartbeat& beat);

    // Sets the free slots of a peer to none until its next heartbeat. Used for a peer that does not take a
    // forwarded request.
    void clear_free_slots(const entry_id& entry);

    // Returns the nearest peer with a free slot for the service; among equally near peers, the one with the
    // most free slots. nullopt if there is none. One of the reported slots counts as used from then on, so
    // that a burst of requests between two heartbeats is not sent to a single peer.
    std::optional<forward_target> choose(const service_name& service);

    // All known peers.
    std::vector<forward_target> all() const;

    // Returns the entry VM that took over the identities of this incarnation, or else the entry VM that runs
    // as this incarnation; nullopt if neither is known.
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
