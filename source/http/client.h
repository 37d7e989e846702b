#ifndef MASTICPASS_HTTP_CLIENT_H
#define MASTICPASS_HTTP_CLIENT_H

#include <cstdint>
#include <memory>
#include <string>

#include <absl/time/time.h>
#include <httplib.h>

namespace masticpass {

// Options of an HTTP client. The default connect timeout of the library is 300 s.
struct http_client_options {
    absl::Duration connect_timeout = absl::Seconds(1);
    // Timeouts of a single read and a single write, not of the whole call.
    absl::Duration read_timeout = absl::Seconds(5);
    absl::Duration write_timeout = absl::Seconds(5);
    bool keep_alive = true;
    // Whether closing a connection resets it, so that the rest of an abandoned request is never delivered,
    // not even seconds later when an interrupted network recovers.
    bool reset_on_close = false;
};

// Creates a client of one server. It follows no redirects, uses no proxy and does not compress. Thread
// safety: a client supports one call at a time.
std::unique_ptr<httplib::Client> create_http_client(const std::string& ip, std::uint16_t port,
                                                    const http_client_options& options);

// Like the function above, for an address of the form "10.0.3.7:9000".
std::unique_ptr<httplib::Client> create_http_client(const std::string& address,
                                                    const http_client_options& options);

}  // namespace masticpass

#endif
