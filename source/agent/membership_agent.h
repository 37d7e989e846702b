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

// What membership tells the rest of the entry VM. The functions are called from the agent's and the server's
// threads.
struct membership_callbacks {
    // Builds this entry VM's own heartbeat.
    std::function<heartbeat()> own_heartbeat;
    // A heartbeat that is not older than what is known of its sender.
    std::function<void(const heartbeat&)> on_heartbeat;
    // An incarnation is proved gone.
    std::function<void(const incarnation_id&)> on_termination;
    // Takes over the request identities of an entry VM that stops; false if it refuses.
    std::function<bool(const std::vector<identity_transfer>&)> take_over_identities;
};

// Exchanges heartbeats with the other entry VMs, one thread for each, and brings records to those that are
// behind. Either end of a pair starts an exchange. If both start one at once, both are completed and the
// heartbeat that was built last stays.
// Ownership: owns its threads; borrows everything passed in, and no other part may use `random`. Thread
// safety: all methods but the constructor and destructor may be called from any thread.
class membership_agent final : public peer_handler {
public:
    membership_agent(const settings& configured, const incarnation_id& self, peer_client& peers,
                     record_cache& records, const clock& time_source, metrics_registry& metrics,
                     absl::BitGenRef random, membership_callbacks callbacks);
    ~membership_agent() override;

    // Replaces the peer addresses found in the store; those of the settings stay.
    void set_registered(const std::set<std::string>& addresses);

    // Exchanges heartbeats with all peers at once, for example because a record changed.
    void exchange_now();

    // Ends the exchange; to be called before the objects that the events use are destroyed.
    void stop();

    heartbeat receive_heartbeat(const heartbeat& beat) override;
    std::vector<record> records_after(std::uint64_t revision) override;
    void receive_records(const std::vector<record>& records) override;
    bool take_over_identities(const std::vector<identity_transfer>& transfers) override;

    // The entry VMs heard lately, without this one. All zones if `zone` is empty.
    std::vector<membership_view::known_entry> alive(const zone_name& zone) const;
    bool is_terminated(const entry_id& entry, const incarnation_id& incarnation) const;
    // The last heartbeat of each entry VM that was heard lately.
    std::vector<heartbeat> latest_heartbeats() const;
    // Ids of the live entry VMs and of this one. All zones if `zone` is empty.
    std::vector<entry_id> candidates(const zone_name& zone) const;

private:
    // Exchanges heartbeats if the timer has ended or an exchange was requested. Returns the time until the
    // timer ends.
    absl::Duration exchange_if_due(const std::string& address);
    void exchange(const std::string& address);
    bool should_exchange(const std::string& address);
    // This entry VM's heartbeat as it is sent to one peer.
    heartbeat next_heartbeat(const std::string& address);
    bool should_pull(const heartbeat& own, const heartbeat& peer);
    void handle_exchange_failure(const std::string& address);
    bool accept(heartbeat beat);
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
    // Held while a heartbeat is built and numbered, so that a higher number never has older content.
    absl::Mutex numbering_mutex_;

    mutable absl::Mutex mutex_;
    membership_view view_ ABSL_GUARDED_BY(mutex_);
    std::map<entry_id, heartbeat> latest_heartbeats_ ABSL_GUARDED_BY(mutex_);
    exchange_timers timers_ ABSL_GUARDED_BY(mutex_);
    // The newest configuration and record revisions of each peer that this entry VM lacked at the last
    // exchange.
    std::map<entry_id, std::pair<std::uint64_t, std::uint64_t>> peer_revisions_ ABSL_GUARDED_BY(mutex_);
    // Addresses with which an exchange takes place although the timer has not ended.
    std::set<std::string> requested_exchanges_ ABSL_GUARDED_BY(mutex_);

    absl::Mutex threads_mutex_;
    bool stopped_ ABSL_GUARDED_BY(threads_mutex_) = false;
    std::map<std::string, std::unique_ptr<periodic_thread>> exchange_threads_ ABSL_GUARDED_BY(threads_mutex_);
};

}  // namespace masticpass

#endif
