#ifndef MASTICPASS_DECISION_MEMBERSHIP_MEMBERSHIP_VIEW_H
#define MASTICPASS_DECISION_MEMBERSHIP_MEMBERSHIP_VIEW_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "common/identifier.h"

namespace masticpass {

// The part of a heartbeat that the membership view uses.
struct entry_observation {
    entry_id entry;
    incarnation_id incarnation;
    zone_name zone;
    // IP address and port at which other entry VMs reach this one.
    std::string address;
    std::int64_t configuration_revision = 0;
    bool is_store_reachable = false;
};

// Evidence that an incarnation no longer runs. Missing heartbeats are no evidence: a frozen process may
// resume.
enum class termination_proof {
    newer_incarnation,   // A heartbeat of a newer incarnation of the entry VM reported the same address.
    connection_refused,  // The address of the incarnation refused a connection.
    vm_terminated,       // The platform terminated its VM.
};

// Tracks the entry VMs from which this one received heartbeats, and the evidence that incarnations of them
// have terminated. Thread safety: none; the owner must serialize calls.
class membership_view {
public:
    struct known_entry {
        entry_observation observation;
        absl::Time last_heartbeat_at;
    };

    // Records a heartbeat. A newer incarnation replaces an older one, but proves its termination only if both
    // use the same address: at another address, two processes may run with the same entry id. Returns false
    // if this incarnation has terminated, or if a heartbeat of a newer incarnation that is not proved
    // terminated was received before. A heartbeat that arrives after a later one of the same incarnation
    // lowers neither the configuration revision nor the time.
    bool record_heartbeat(const entry_observation& observation, absl::Time now);

    // Records that `incarnation` has terminated, for example because the address that its heartbeats reported
    // refused a connection afterwards. Older incarnations with the same address have terminated too.
    void record_termination(const entry_id& entry, const incarnation_id& incarnation,
                            termination_proof proof);

    // Returns the proof that an incarnation has terminated; nullopt if there is none. The entry VM need not
    // be known.
    std::optional<termination_proof> find_termination_proof(const entry_id& entry,
                                                            const incarnation_id& incarnation) const;

    // Returns the incarnations of all entry VMs whose heartbeats reported `address` and that are not proved
    // terminated.
    std::vector<entry_observation> possibly_running_at(const std::string& address) const;

    // Returns the incarnations of an entry VM that sent heartbeats and are not proved terminated.
    std::vector<entry_observation> possibly_running_of(const entry_id& entry) const;

    // Returns the current incarnation of an entry VM, even if its heartbeats have stopped or it has
    // terminated; nullopt if the entry VM is unknown.
    std::optional<known_entry> find(const entry_id& entry) const;

    // Returns the entry VMs that sent a heartbeat within `heartbeat_timeout` before `now` and are not proved
    // terminated, in the order of their ids. Includes all zones if `zone` is empty.
    std::vector<known_entry> alive(const zone_name& zone, absl::Time now,
                                   absl::Duration heartbeat_timeout) const;

private:
    // The incarnations of an entry VM from which heartbeats were received, and those with a termination
    // proof, oldest first.
    struct incarnations {
        std::map<incarnation_id, entry_observation> observed;
        std::map<incarnation_id, termination_proof> terminated;
    };

    // Keyed by the value of the entry id.
    std::map<std::string, known_entry> entries_;
    std::map<std::string, incarnations> incarnations_;
};

// Returns the ids of the entry VMs, for example as candidates for rendezvous hashing.
std::vector<entry_id> entry_ids(const std::vector<membership_view::known_entry>& entries);

}  // namespace masticpass

#endif
