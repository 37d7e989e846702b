#include "http/client.h"

#include <sys/socket.h>

namespace masticpass {

namespace {

std::unique_ptr<httplib::Client> configure(std::unique_ptr<httplib::Client> client,
                                           const http_client_options& options) {
    // With Nagle's algorithm, a small request would wait for a delayed acknowledgement.
    client->set_tcp_nodelay(true);
    // Replaces the default socket options of the library, which set SO_REUSEPORT.
    client->set_socket_options([reset_on_close = options.reset_on_close](socket_t socket) {
        if (reset_on_close) {
            const linger linger_options{.l_onoff = 1, .l_linger = 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &linger_options, sizeof(linger_options));
        }
    });
    client->set_keep_alive(options.keep_alive);
    client->set_connection_timeout(absl::ToChronoMicroseconds(options.connect_timeout));
    client->set_read_timeout(absl::ToChronoMicroseconds(options.read_timeout));
    client->set_write_timeout(absl::ToChronoMicroseconds(options.write_timeout));
    client->set_follow_location(false);
    client->set_compress(false);
    client->set_decompress(false);
    return client;
}

}  // namespace

std::unique_ptr<httplib::Client> create_http_client(const std::string& ip, std::uint16_t port,
                                                    const http_client_options& options) {
    return configure(std::make_unique<httplib::Client>(ip, port), options);
}

std::unique_ptr<httplib::Client> create_http_client(const std::string& address,
                                                    const http_client_options& options) {
    return configure(std::make_unique<httplib::Client>("http://" + address), options);
}

}  // namespace masticpass
