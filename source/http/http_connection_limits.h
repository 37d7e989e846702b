#ifndef MASTICPASS_HTTP_HTTP_CONNECTION_LIMITS_H
#define MASTICPASS_HTTP_HTTP_CONNECTION_LIMITS_H

#include <cstddef>

#include <absl/time/time.h>

namespace masticpass {

// Limits of the connections to one server, for example the store of the platform.
struct http_connection_limits {
    // The default of the HTTP library is 300 s.
    absl::Duration connect_timeout = absl::Seconds(1);
    // Timeout of a whole call, measured from the time the connection is open.
    absl::Duration call_timeout = absl::Seconds(2);
    // A connection that has been idle for longer is not reused, since the peer may be closing it.
    absl::Duration idle_timeout = absl::Seconds(2);
    std::size_t maximum_idle_connections = 4;
    std::size_t maximum_response_bytes = std::size_t{16} << 20U;
};

}  // namespace masticpass

#endif
