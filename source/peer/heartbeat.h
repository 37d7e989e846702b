#ifndef MASTICPASS_PEER_HEARTBEAT_H
#define MASTICPASS_PEER_HEARTBEAT_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "common/identifier.h"

namespace masticpass {

// What one entry VM can take for one service, in requests.
struct service_load {
    service_name service;
    int free_slots = 0;
    int queued = 0;
    // Slots that its recent requests would have used.
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

// States that the sender has no request in flight on a VM and sends it nothing, for one operation on it.
struct drain_acknowledgement {
    vm_id vm;
    operation_id operation;
};

// What an entry VM tells the others every heartbeat interval.
struct heartbeat {
    entry_id entry;
    incarnation_id incarnation;
    region_name region;
    zone_name zone;
    // Address of its peer server.
    std::string address;
    std::uint64_t configuration_revision = 0;
    // Highest store revision of any record that it holds.
    std::uint64_t record_revision = 0;
    bool store_reachable = false;
    // It is stopping and takes no new requests.
    bool stopping = false;
    std::uint64_t allotment_epoch = 0;
    // Instances on which its requests in flight exceed its slots of that epoch.
    std::vector<vm_id> unsettled;
    std::vector<service_load> services;
    // Number of the update that `services` is, the update that it changes (0: it is the whole list), and the
    // last update that was received from the peer. See load_exchange.
    std::uint64_t loads_number = 0;
    std::uint64_t loads_base = 0;
    std::uint64_t loads_received = 0;
    std::vector<server_observation> observations;
    std::vector<drain_acknowledgement> drained;
};

Json::Value to_json(const heartbeat& beat);

// nullopt if a member is missing or has another type.
std::optional<heartbeat> parse_heartbeat(const Json::Value& value);

}  // namespace masticpass

#endif
