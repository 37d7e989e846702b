#ifndef MASTICPASS_SETTINGS_SETTINGS_H
#define MASTICPASS_SETTINGS_SETTINGS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/time/time.h>

#include "common/identifier.h"
#include "settings/socket_address.h"
#include "telemetry/log.h"

namespace masticpass {

// The identity and location of this entry VM.
struct entry_settings {
    entry_id id;
    region_name region;
    zone_name zone;
};

// The addresses that this process listens on. The peer address is also the one that other entry VMs connect
// to.
struct listen_settings {
    socket_address caller;
    socket_address peer;
    socket_address operations;
    // Serves health and metrics.
    socket_address status;
};

// Another entry VM that is known at start.
struct peer_settings {
    entry_id id;
    // Defaults to the region of this entry VM.
    region_name region;
    zone_name zone;
    socket_address address;
};

struct platform_settings {
    socket_address store;
    // Serves the VM list and VM control.
    socket_address vms;
    absl::Duration call_timeout = absl::Seconds(2);
};

// Limits on the connections, requests and memory of this process.
struct limit_settings {
    std::size_t caller_connections = 256;
    std::size_t peer_connections = 64;
    std::uint64_t request_bytes = 8ULL << 20;
    std::uint64_t response_bytes = 64ULL << 20;
    // The limits of the queue apply to each service.
    std::size_t queue_items = 1000;
    std::uint64_t queue_bytes = 64ULL << 20;
    std::uint64_t response_cache_bytes = 8ULL << 20;
};

struct timing_settings {
    absl::Duration heartbeat = absl::Seconds(1);
    absl::Duration vm_poll = absl::Seconds(1);
    absl::Duration probe = absl::Seconds(1);
    // A connection to a backend server that has been idle for longer is not reused.
    absl::Duration idle_connection = absl::Seconds(5);
    absl::Duration identity_validity = absl::Minutes(15);
};

// The round-trip time between this entry VM and another one, by location. Forwarding uses it as a weight.
struct distance_settings {
    absl::Duration same_zone = absl::Microseconds(200);
    absl::Duration other_zone = absl::Milliseconds(1);
    absl::Duration other_region = absl::Milliseconds(50);
};

struct log_settings {
    log_severity level = log_severity::info;
};

// The settings of one entry VM process. Settings returned by load_settings() are complete and valid.
struct settings {
    entry_settings entry;
    listen_settings listen;
    std::vector<peer_settings> peers;
    platform_settings platform;
    limit_settings limits;
    timing_settings timing;
    distance_settings distance;
    log_settings log;
};

}  // namespace masticpass

#endif
