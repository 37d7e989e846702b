#include "http/client.h"

namespace masticpass {

std::unique_ptr<httplib::Client> create_http_client(const std::string& ip, std::uint16_t port,
                                                    const http_client_options& options) {
    auto client = std::make_unique<httplib::Client>(ip, port);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(options.keep_alive);
    client->set_connection_timeout(absl::ToChronoMicroseconds(options.connect_limit));
    client->set_read_timeout(absl::ToChronoMicroseconds(options.read_limit));
    client->set_write_timeout(absl::ToChronoMicroseconds(options.write_limit));
    client->set_follow_location(false);
    client->set_compress(false);
    client->set_decompress(false);
    return client;
}

}  // namespace masticpass
