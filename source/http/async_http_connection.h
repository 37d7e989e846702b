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

// HTTP calls to one address over one kept connection, one at a time, without a thread that waits. For peers
// of which one process has hundreds, where a thread for each costs more than the calls. The connection is
// reset after any failure, so that bytes that a cut network holds up do not arrive later. Ownership: borrows
// the loop. Thread safety: all methods on the loop's thread.
class async_http_connection {
public:
    using result = tl::expected<http_response, http_failure>;
    using callback = std::function<void(result)>;

    // `address` is an IP address and port.
    async_http_connection(boost::asio::io_context& loop, std::string address,
                          const http_connection_limits& limits);
    async_http_connection(const async_http_connection&) = delete;
    async_http_connection& operator=(const async_http_connection&) = delete;
    // A call in progress is given up, and its callback is not invoked.
    ~async_http_connection();

    // Precondition: no call is in progress. `done` is invoked once, later, on the loop's thread; it may start
    // the next call. `call_timeout` bounds the time after the connection is open.
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
