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

// Who and where this entry VM is.
struct entry_settings {
    entry_id id;
    region_name region;
    zone_name zone;
};

// Addresses that this process listens on. The peer address is also the one that other entry VMs connect to.
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
    // The region of this entry VM if the file names none.
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

// Bounds of what this process holds at once.
struct limit_settings {
    std::size_t caller_connections = 256;
    std::size_t peer_connections = 64;
    std::uint64_t request_bytes = 8ULL << 20;
    std::uint64_t response_bytes = 64ULL << 20;
    // Per service.
    std::size_t queue_items = 1000;
    std::uint64_t queue_bytes = 64ULL << 20;
    std::uint64_t response_cache_bytes = 8ULL << 20;
};

struct timing_settings {
    absl::Duration heartbeat = absl::Seconds(1);
    absl::Duration vm_poll = absl::Seconds(1);
    absl::Duration probe = absl::Seconds(1);
    // An idle connection to a backend server that is older is not used again.
    absl::Duration idle_connection = absl::Seconds(5);
    absl::Duration identity_validity = absl::Minutes(15);
};

// Time of a message from this entry VM to another one and back, used as a weight in forwarding.
struct distance_settings {
    absl::Duration same_zone = absl::Microseconds(200);
    absl::Duration other_zone = absl::Milliseconds(1);
    absl::Duration other_region = absl::Milliseconds(50);
};

struct log_settings {
    log_severity level = log_severity::info;
};

// Settings of one entry VM process. A value that came from load_settings is complete and checked.
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
