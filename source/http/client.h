#ifndef MASTICPASS_HTTP_CLIENT_H
#define MASTICPASS_HTTP_CLIENT_H

#include <cstdint>
#include <memory>
#include <string>

#include <absl/time/time.h>
#include <httplib.h>

namespace masticpass {

// Limits of an HTTP client. The library's own connect timeout is 300 s.
struct http_client_options {
    absl::Duration connect_timeout = absl::Seconds(1);
    // Timeouts of one read and one write, not of the whole call.
    absl::Duration read_timeout = absl::Seconds(5);
    absl::Duration write_timeout = absl::Seconds(5);
    bool keep_alive = true;
    // Closing a connection resets it, so that the rest of a request that was given up is never delivered: not
    // seconds later either, when a cut network heals.
    bool reset_on_close = false;
};

// A client of one server. It follows no redirect, uses no proxy and does not compress.
// Thread safety: one call at a time for each client.
std::unique_ptr<httplib::Client> create_http_client(const std::string& ip, std::uint16_t port,
                                                    const http_client_options& options);

// The same for an address of the form "10.0.3.7:9000".
std::unique_ptr<httplib::Client> create_http_client(const std::string& address,
                                                    const http_client_options& options);

}  // namespace masticpass

#endif
