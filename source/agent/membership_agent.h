#ifndef MASTICPASS_AGENT_MEMBERSHIP_AGENT_H
#define MASTICPASS_AGENT_MEMBERSHIP_AGENT_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/synchronization/mutex.h>

#include "agent/exchange_timers.h"
#include "agent/periodic_thread.h"
#include "agent/record_cache.h"
#include "common/clock.h"
#include "decision/membership/membership_view.h"
#include "peer/load_exchange.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"

namespace masticpass {

// The functions by which the membership agent reads and notifies the other parts of the entry VM. They are
// called on the threads of the agent and of the peer server.
struct membership_callbacks {
    // Returns this entry VM's own heartbeat.
    std::function<heartbeat()> own_heartbeat;
    // Called with each received heartbeat that is not older than the latest one of its sender.
    std::function<void(const heartbeat&)> on_heartbeat;
    // Called when an incarnation is proved terminated.
    std::function<void(const incarnation_id&)> on_termination;
    // Takes over the request identities of an entry VM that stops. Returns false if it refuses them.
    std::function<bool(const std::vector<identity_transfer>&)> take_over_identities;
};

// Exchanges heartbeats with the other entry VMs, on one thread for each, and transfers records between entry
// VMs if one of them has older ones. Either entry VM of a pair may start an exchange. If both start one at
// the same time, both exchanges complete and the heartbeat that was built last is kept.
// Ownership: owns its threads; borrows everything passed in, and no other part may use `random`. Thread
// safety: all methods but the constructor and destructor may be called from any thread.
class membership_agent final : public peer_handler {
public:
    membership_agent(const settings& configured, const incarnation_id& self, peer_client& peers,
                     record_cache& records, const clock& time_source, metrics_registry& metrics,
                     absl::BitGenRef random, membership_callbacks callbacks);
    ~membership_agent() override;

    // Replaces the peer addresses that are registered in the store. The addresses from the settings are
    // always kept.
    void set_registered(const std::set<std::string>& addresses);

    // Starts an exchange with every peer immediately, for example because a record changed.
    void exchange_now();

    // Stops the exchanges. To be called before the objects that the callbacks use are destroyed.
    void stop();

    heartbeat receive_heartbeat(const heartbeat& beat) override;
    std::vector<record> records_after(std::uint64_t revision) override;
    void receive_records(const std::vector<record>& records) override;
    bool take_over_identities(const std::vector<identity_transfer>& transfers) override;

    // Returns the live entry VMs other than this one: those whose last heartbeat arrived within the heartbeat
    // timeout and that are not proved terminated. Includes all zones if `zone` is empty.
    std::vector<membership_view::known_entry> alive(const zone_name& zone) const;
    // Returns whether the incarnation is proved terminated.
    bool is_terminated(const entry_id& entry, const incarnation_id& incarnation) const;
    // Returns the last heartbeat of each live entry VM other than this one.
    std::vector<heartbeat> latest_heartbeats() const;
    // Returns the ids of the live entry VMs, including this one, as candidates for rendezvous hashing.
    // Includes all zones if `zone` is empty.
    std::vector<entry_id> candidates(const zone_name& zone) const;

private:
    // Exchanges heartbeats if the timer has ended or an exchange was requested. Returns the time until the
    // timer ends.
    absl::Duration exchange_if_due(const std::string& address);
    void exchange(const std::string& address);
    // Returns whether an exchange is due, and clears the request for it.
    bool should_exchange(const std::string& address);
    // Builds this entry VM's heartbeat for the peer with this address.
    heartbeat next_heartbeat(const std::string& address);
    // Returns whether to request the peer's records because this entry VM has older ones. While the store is
    // reachable, its watch delivers most records within milliseconds, so only records that were already
    // missing at the previous exchange are requested.
    bool should_pull(const heartbeat& own, const heartbeat& peer);
    // Checks whether the process at the address has terminated, and records the termination of its
    // incarnations.
    void handle_exchange_failure(const std::string& address);
    // Records a received heartbeat. Returns false if it is outdated.
    bool accept(heartbeat beat);
    // Transfers records between this entry VM and the peer after an exchange.
    void reconcile(const std::string& address, const heartbeat& own, const heartbeat& peer);

    const settings& configured_;
    const incarnation_id self_;
    const std::string own_address_;
    peer_client& peers_;
    record_cache& records_;
    const clock& clock_;
    metrics_registry& metrics_;
    const membership_callbacks callbacks_;
    const absl::Duration heartbeat_timeout_;
    load_exchange loads_;
    // Held while a heartbeat is built and numbered, so that a heartbeat with a higher number never has older
    // content.
    absl::Mutex numbering_mutex_;

    mutable absl::Mutex mutex_;
    membership_view view_ ABSL_GUARDED_BY(mutex_);
    std::map<entry_id, heartbeat> latest_heartbeats_ ABSL_GUARDED_BY(mutex_);
    exchange_timers timers_ ABSL_GUARDED_BY(mutex_);
    // The configuration and record revisions that each peer reported at the last exchange. Those of an
    // exchange that the peer started are kept only if this entry VM had older ones.
    std::map<entry_id, std::pair<std::uint64_t, std::uint64_t>> peer_revisions_ ABSL_GUARDED_BY(mutex_);
    // Addresses of the peers with which an exchange is due regardless of the timer.
    std::set<std::string> requested_exchanges_ ABSL_GUARDED_BY(mutex_);

    absl::Mutex threads_mutex_;
    bool stopped_ ABSL_GUARDED_BY(threads_mutex_) = false;
    // Keyed by the address of the peer.
    std::map<std::string, std::unique_ptr<periodic_thread>> exchange_threads_ ABSL_GUARDED_BY(threads_mutex_);
};

}  // namespace masticpass

#endif
