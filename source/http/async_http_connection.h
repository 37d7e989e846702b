#ifndef MASTICPASS_HTTP_ASYNC_HTTP_CONNECTION_H
#define MASTICPASS_HTTP_ASYNC_HTTP_CONNECTION_H

#include <functional>
#include <memory>
#include <string>

#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include "http/http_connection_limits.h"
#include "http/pooled_http_client.h"

namespace masticpass {

// Asynchronous HTTP client of one server that sends one request at a time over a persistent connection. It is
// meant for processes that talk to hundreds of servers, where a thread for each would cost more than the
// calls. After any failure the connection is reset, so that bytes held back by an interrupted network are not
// delivered later. Ownership: borrows the event loop. Thread safety: all methods must be called on the thread
// of the loop.
class async_http_connection {
public:
    using result = tl::expected<http_response, http_failure>;
    using callback = std::function<void(result)>;

    // `address` is an IP address and port.
    async_http_connection(boost::asio::io_context& loop, std::string address,
                          const http_connection_limits& limits);
    async_http_connection(const async_http_connection&) = delete;
    async_http_connection& operator=(const async_http_connection&) = delete;
    // Cancels a call in progress; its callback is not invoked.
    ~async_http_connection();

    // Sends a request. No other call may be in progress. `done` is invoked once, on the thread of the loop
    // and after this method has returned; it may start the next call. `call_timeout` limits the time after
    // the connection has been opened.
    void call(http_request request, absl::Duration call_timeout, callback done);

private:
    class connection_state;

    boost::asio::io_context& loop_;
    const std::string address_;
    const http_connection_limits limits_;
    std::shared_ptr<connection_state> state_;
};

}  // namespace masticpass

#endif
