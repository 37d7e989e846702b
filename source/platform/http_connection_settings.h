#ifndef MASTICPASS_PLATFORM_HTTP_CONNECTION_SETTINGS_H
#define MASTICPASS_PLATFORM_HTTP_CONNECTION_SETTINGS_H

#include <cstddef>

#include <absl/time/time.h>

namespace httplib {
class Client;
}

namespace masticpass {

// Limits of a connection to the platform.
struct platform_limits {
    // The library's default is 300 s.
    absl::Duration connect_limit = absl::Seconds(1);
    // Limit for a whole call after the connection is open.
    absl::Duration call_limit = absl::Seconds(2);
    // A connection that was idle for longer is not reused, since the other end may be closing it.
    absl::Duration idle_limit = absl::Seconds(2);
    std::size_t maximum_idle_connections = 4;
    std::size_t maximum_response_bytes = std::size_t{16} << 20U;
};

// Sets the time limits and socket options of a client.
void apply_connection_settings(httplib::Client& client, const platform_limits& limits);

}  // namespace masticpass

#endif
