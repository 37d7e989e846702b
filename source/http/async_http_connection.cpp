#include "http/async_http_connection.h"

#include <optional>
#include <utility>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

#include "common/clock.h"
#include "settings/socket_address.h"

namespace masticpass {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned http_version = 11;
// A connection that was used this recently is reused without checking whether the peer has closed it.
constexpr absl::Duration unchecked_idle_period = absl::Milliseconds(100);

}  // namespace

// A connection and its current call. Pending operations keep this object alive, so that it may outlive the
// async_http_connection that started them. All methods run on the thread of the loop.
class async_http_connection::connection_state : public std::enable_shared_from_this<connection_state> {
public:
    connection_state(asio::io_context& loop, const std::string& address, const http_connection_limits& limits)
        : stream_(loop), address_(address), limits_(limits) {}

    void start(http_request request, absl::Duration call_timeout, callback done) {
        done_ = std::move(done);
        call_timeout_ = call_timeout;
        prepare(std::move(request));
        if (is_open_ && is_usable()) {
            send();
        } else {
            connect();
        }
    }

    // Closes the connection. The callback of a call in progress is not invoked.
    void cancel() {
        done_ = nullptr;
        close();
    }

private:
    void prepare(http_request request) {
        request_ = {};
        request_.version(http_version);
        request_.method_string(request.method);
        request_.target(request.path);
        request_.set(http::field::host, address_);
        for (const auto& [name, value] : request.headers) {
            request_.set(name, value);
        }
        if (!request.body.empty()) {
            request_.set(http::field::content_type, "application/json");
        }
        request_.body() = std::move(request.body);
        request_.prepare_payload();
    }

    // Returns whether the open connection can be reused: it has not been idle for too long, and the peer has
    // neither closed it nor sent unexpected data.
    bool is_usable() {
        const absl::Duration idle = monotonic_clock().now() - last_used_at_;
        if (idle > limits_.idle_timeout) {
            return false;
        }
        if (idle <= unchecked_idle_period) {
            return true;
        }
        char byte = 0;
        const auto received = recv(stream_.socket().native_handle(), &byte, 1,
                                   MSG_PEEK | MSG_DONTWAIT);  // NOLINT(hicpp-signed-bitwise)
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    void connect() {
        close();
        const auto peer = parse_socket_address(address_);
        boost::system::error_code error;
        const auto ip = peer ? asio::ip::make_address(peer->ip, error) : asio::ip::address();
        if (!peer || error) {
            asio::post(stream_.get_executor(),
                       [self = shared_from_this()] { self->fail(false, "expected an IP address and port"); });
            return;
        }
        stream_.expires_after(absl::ToChronoNanoseconds(limits_.connect_timeout));
        stream_.async_connect(asio::ip::tcp::endpoint(ip, peer->port),
                              [self = shared_from_this()](const beast::error_code& result) {
                                  if (result) {
                                      self->fail(false, result.message());
                                      return;
                                  }
                                  self->handle_connected();
                                  self->send();
                              });
    }

    void handle_connected() {
        is_open_ = true;
        boost::system::error_code ignored;
        // With Nagle's algorithm, a small request would wait for a delayed acknowledgement.
        stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        // With a linger time of 0, closing the connection resets it.
        stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }

    void send() {
        if (!done_) {
            return;
        }
        stream_.expires_after(absl::ToChronoNanoseconds(call_timeout_));
        http::async_write(stream_, request_,
                          [self = shared_from_this()](const beast::error_code& result, std::size_t) {
                              if (result) {
                                  self->fail(true, result.message());
                                  return;
                              }
                              self->receive();
                          });
    }

    void receive() {
        parser_.emplace();
        parser_->body_limit(limits_.maximum_response_bytes);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](const beast::error_code& result, std::size_t) {
                             if (result) {
                                 self->fail(true, result.message());
                                 return;
                             }
                             self->succeed();
                         });
    }

    void succeed() {
        http::response<http::string_body> response = parser_->release();
        if (!response.keep_alive()) {
            close();
        }
        stream_.expires_never();
        last_used_at_ = monotonic_clock().now();
        complete(http_response{.status = static_cast<int>(response.result_int()),
                               .body = std::move(response.body())});
    }

    void fail(bool may_have_been_received, const std::string& message) {
        close();
        complete(tl::make_unexpected(http_failure{.may_have_been_received = may_have_been_received,
                                                  .message = message + " (" + address_ + ")"}));
    }

    void complete(result outcome) {
        const callback done = std::exchange(done_, nullptr);
        if (done) {
            done(std::move(outcome));
        }
    }

    void close() {
        is_open_ = false;
        buffer_.clear();
        boost::system::error_code ignored;
        stream_.socket().close(ignored);
    }

    beast::tcp_stream stream_;
    const std::string address_;
    const http_connection_limits limits_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    absl::Duration call_timeout_;
    callback done_;
    bool is_open_ = false;
    absl::Time last_used_at_ = absl::InfinitePast();
};

async_http_connection::async_http_connection(asio::io_context& loop, std::string address,
                                             const http_connection_limits& limits)
    : loop_(loop),
      address_(std::move(address)),
      limits_(limits),
      state_(std::make_shared<connection_state>(loop_, address_, limits_)) {}

async_http_connection::~async_http_connection() {
    state_->cancel();
}

void async_http_connection::call(http_request request, absl::Duration call_timeout, callback done) {
    state_->start(std::move(request), call_timeout, std::move(done));
}

}  // namespace masticpass
