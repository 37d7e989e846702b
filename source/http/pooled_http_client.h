#ifndef MASTICPASS_HTTP_POOLED_HTTP_CLIENT_H
#define MASTICPASS_HTTP_POOLED_HTTP_CLIENT_H

#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <tl/expected.hpp>

#include "http/http_connection_limits.h"

namespace httplib {
class Client;
struct Request;
}  // namespace httplib

namespace masticpass {

struct http_response {
    int status = 0;
    std::string body = {};
};

// A request. A body that is not empty is sent as JSON.
struct http_request {
    std::string method = "GET";
    std::string path = {};
    std::string body = {};
    std::vector<std::pair<std::string, std::string>> headers = {};
};

struct [[nodiscard]] http_failure {
    // False if no connection was opened, so that no byte of the request was sent.
    bool may_have_been_received = true;
    std::string message = {};
};

// HTTP client of one server that reuses a few connections. A connection is closed after any failure. Thread
// safety: all methods may be called from any thread.
class pooled_http_client {
public:
    // Receives a part of a response body. Returns false to end the call.
    using body_receiver = std::function<bool(std::string_view)>;

    // `address` is an IP address and port.
    pooled_http_client(std::string address, const http_connection_limits& limits);
    ~pooled_http_client();
    pooled_http_client(const pooled_http_client&) = delete;
    pooled_http_client& operator=(const pooled_http_client&) = delete;

    // Send a request and return the complete response, subject to the limits.
    tl::expected<http_response, http_failure> get(const std::string& path);
    tl::expected<http_response, http_failure> post(const std::string& path, std::string json);

    // Sends a request with any method and headers. `call_timeout` replaces the call timeout of the limits.
    tl::expected<http_response, http_failure> call(const http_request& request, absl::Duration call_timeout);

    // Sends a request on a separate connection and passes the body to the receiver as it arrives, until the
    // receiver returns false, `timeout` passes or `stop` is requested. Returns the HTTP status; 0 if stopped
    // before the status was received. A stream with status 200 that ends for any other reason is a failure.
    tl::expected<int, http_failure> post_streamed(const std::string& path, std::string json,
                                                  absl::Duration timeout, const std::stop_token& stop,
                                                  const body_receiver& receiver);

private:
    struct idle_connection {
        std::unique_ptr<httplib::Client> client;
        absl::Time since = {};
    };

    std::unique_ptr<httplib::Client> make_client() const;
    std::unique_ptr<httplib::Client> acquire_client();
    void release_client(std::unique_ptr<httplib::Client> client);
    tl::expected<http_response, http_failure> send(httplib::Request& request, absl::Duration call_timeout);

    const std::string address_;
    const http_connection_limits limits_;
    absl::Mutex mutex_;
    // The most recently used connection is at the back.
    std::vector<idle_connection> idle_connections_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace masticpass

#endif
