#ifndef MASTICPASS_PEER_HEARTBEAT_H
#define MASTICPASS_PEER_HEARTBEAT_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "common/identifier.h"

namespace masticpass {

// The load of one service on one entry VM.
struct service_load {
    service_name service;
    int free_slots = 0;
    int queued = 0;
    // Number of slots that its running and queued requests would use.
    double demand_slots = 0;

    friend bool operator==(const service_load&, const service_load&) = default;
};

// Why an entry VM sends no work to a backend server.
enum class server_condition { leaving, unreachable, ejected };

struct server_observation {
    vm_id vm;
    // The condition ends with a newer boot identity.
    boot_id boot;
    server_condition condition = server_condition::unreachable;
};

// States, for one operation on a VM, that the sender has no request in flight on the VM and sends it none.
struct drain_acknowledgement {
    vm_id vm;
    operation_id operation;
};

// The state that an entry VM sends to the others in each heartbeat interval.
struct heartbeat {
    entry_id entry;
    incarnation_id incarnation;
    region_name region;
    zone_name zone;
    // Address of its peer server.
    std::string address;
    std::uint64_t configuration_revision = 0;
    // Store revision up to which the sender has received all records; 0 if it has not loaded them.
    std::uint64_t record_revision = 0;
    bool store_reachable = false;
    // Whether the sender is stopping and takes no new requests.
    bool stopping = false;
    std::uint64_t allotment_epoch = 0;
    // Instances on which the sender still has more requests or connections than its slots at
    // `allotment_epoch` allow.
    std::vector<vm_id> unsettled;
    std::vector<service_load> services;
    // The number of the update in `services`, the number of the update on which it is based (0 if `services`
    // is the full list), and the number of the last update received from the peer. See load_exchange.
    std::uint64_t loads_number = 0;
    std::uint64_t loads_base = 0;
    std::uint64_t loads_received = 0;
    std::vector<server_observation> observations;
    std::vector<drain_acknowledgement> drained;
    // Incarnations whose request identities the sender took over when they stopped.
    std::vector<incarnation_id> taken_over;
};

Json::Value to_json(const heartbeat& beat);

// Returns nullopt if a member is missing or has the wrong type.
std::optional<heartbeat> parse_heartbeat(const Json::Value& value);

}  // namespace masticpass

#endif
