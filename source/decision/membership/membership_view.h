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

// The part of a heartbeat that membership uses.
struct entry_observation {
    entry_id entry;
    incarnation_id incarnation;
    zone_name zone;
    // IP address and port for other entry VMs.
    std::string address;
    std::int64_t configuration_revision = 0;
    bool is_store_reachable = false;
};

// Why an incarnation is known to run no longer. Silence is not a proof: a frozen process may resume.
enum class termination_proof {
    newer_incarnation,   // A newer incarnation of the entry VM was heard at the same address.
    connection_refused,  // The address that it used refuses connections.
    vm_terminated,       // The platform terminated its VM.
};

// The entry VMs that this one knows by their heartbeats.
// Thread safety: none; the owner serializes calls.
class membership_view {
public:
    struct known_entry {
        entry_observation observation;
        absl::Time last_heartbeat_at;
    };

    // Records a heartbeat. A newer incarnation takes the place of an older one, which it proves gone only if
    // both use the same address: at another address, two processes may run with the same entry id. Returns
    // false if a newer incarnation that is not proved gone was heard before or if this one is proved gone. A
    // heartbeat that is overtaken by a later one of the same incarnation does not lower the configuration
    // revision or the time.
    bool record_heartbeat(const entry_observation& observation, absl::Time now);

    // Records that `incarnation` is gone, for example because the address at which it was heard refused a
    // connection after that. Older ones that were heard at the same address are gone with it.
    void record_termination(const entry_id& entry, const incarnation_id& incarnation,
                            termination_proof proof);

    // The proof that an incarnation is gone; nullopt if there is none. The entry VM need not be known.
    std::optional<termination_proof> find_termination_proof(const entry_id& entry,
                                                            const incarnation_id& incarnation) const;

    // The incarnations of all entry VMs that were heard at `address` and are not proved gone.
    std::vector<entry_observation> possibly_running_at(const std::string& address) const;

    // The incarnations of an entry VM that were heard and are not proved gone.
    std::vector<entry_observation> possibly_running_of(const entry_id& entry) const;

    // The incarnation in use of an entry VM, also if it is silent or gone; nullopt if it is unknown.
    std::optional<known_entry> find(const entry_id& entry) const;

    // The entry VMs heard within `silence_limit` before `now` and not proved gone, in the order of their ids.
    // All zones if `zone` is empty.
    std::vector<known_entry> alive(const zone_name& zone, absl::Time now,
                                   absl::Duration heartbeat_timeout) const;

private:
    // What is known of an entry VM's incarnations, oldest first.
    struct incarnations {
        std::map<incarnation_id, entry_observation> observed;
        std::map<incarnation_id, termination_proof> terminated;
    };

    // By the value of the entry id.
    std::map<std::string, known_entry> entries_;
    std::map<std::string, incarnations> incarnations_;
};

// The ids of entry VMs, for example as the candidates of a rendezvous hash.
std::vector<entry_id> entry_ids(const std::vector<membership_view::known_entry>& entries);

}  // namespace masticpass

#endif
