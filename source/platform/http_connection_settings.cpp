#include "platform/http_connection_settings.h"

#include <chrono>

#include <httplib.h>

namespace masticpass {

void apply_connection_settings(httplib::Client& client, const platform_limits& limits) {
    client.set_connection_timeout(absl::ToChronoMicroseconds(limits.connect_limit));
    client.set_read_timeout(absl::ToChronoMicroseconds(limits.call_limit));
    client.set_write_timeout(absl::ToChronoMicroseconds(limits.call_limit));
    client.set_keep_alive(true);
    // Without it a small request waits for a delayed acknowledgement.
    client.set_tcp_nodelay(true);
    // The library's default options set SO_REUSEPORT.
    client.set_socket_options([](socket_t) {});
}

}  // namespace masticpass
