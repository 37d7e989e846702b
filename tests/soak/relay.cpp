#include "soak/relay.h"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "settings/socket_address.h"

namespace masticpass::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::milliseconds added_delay{250};
constexpr std::size_t buffer_bytes = 16384;

tcp::endpoint parse_endpoint(const std::string& address) {
    const auto parsed = parse_socket_address(address).value();
    return {asio::ip::make_address(parsed.ip), parsed.port};
}

}  // namespace

// Relays both directions of one connection. Its pending asynchronous operations keep the object alive.
class relay::connection : public std::enable_shared_from_this<connection> {
public:
    connection(asio::io_context& loop, tcp::socket downstream, const std::atomic<relay_mode>& mode)
        : downstream_(std::move(downstream)), upstream_(loop), loop_(loop), mode_(mode) {}

    void open(const tcp::endpoint& target) {
        upstream_.async_connect(target, [self = shared_from_this()](const boost::system::error_code& error) {
            if (error) {
                self->reset();
                return;
            }
            self->read_next(self->downstream_, self->upstream_, self->to_upstream_, true);
            self->read_next(self->upstream_, self->downstream_, self->to_downstream_, false);
        });
    }

private:
    using buffer = std::array<char, buffer_bytes>;

    void read_next(tcp::socket& from, tcp::socket& to, buffer& bytes, bool is_request) {
        from.async_read_some(asio::buffer(bytes),
                             [this, self = shared_from_this(), &from, &to, &bytes, is_request](
                                 const boost::system::error_code& error, std::size_t size) {
                                 if (error) {
                                     reset();
                                     return;
                                 }
                                 forward(from, to, bytes, size, is_request);
                             });
    }

    void forward(tcp::socket& from, tcp::socket& to, buffer& bytes, std::size_t size, bool is_request) {
        const relay_mode mode = mode_;
        if (mode == relay_mode::reset) {
            reset();
        } else if (mode == relay_mode::silent || (mode == relay_mode::block_responses && !is_request)) {
            // This part of the stream is lost, so nothing that follows may be forwarded either.
            return;
        } else if (mode == relay_mode::delay) {
            const auto timer = std::make_shared<asio::steady_timer>(loop_, added_delay);
            timer->async_wait(
                [this, self = shared_from_this(), timer, &from, &to, &bytes, size,
                 is_request](const boost::system::error_code&) { send(from, to, bytes, size, is_request); });
        } else {
            send(from, to, bytes, size, is_request);
        }
    }

    void send(tcp::socket& from, tcp::socket& to, buffer& bytes, std::size_t size, bool is_request) {
        asio::async_write(to, asio::buffer(bytes, size),
                          [this, self = shared_from_this(), &from, &to, &bytes, is_request](
                              const boost::system::error_code& error, std::size_t) {
                              if (error) {
                                  reset();
                                  return;
                              }
                              read_next(from, to, bytes, is_request);
                          });
    }

    void reset() {
        boost::system::error_code ignored;
        downstream_.set_option(asio::socket_base::linger(true, 0), ignored);
        downstream_.close(ignored);
        upstream_.close(ignored);
    }

    tcp::socket downstream_;
    tcp::socket upstream_;
    asio::io_context& loop_;
    const std::atomic<relay_mode>& mode_;
    buffer to_upstream_{};
    buffer to_downstream_{};
};

relay::relay(const std::string& target)
    : acceptor_(loop_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      target_(parse_endpoint(target)) {
    accept();
    thread_ = std::thread([this] { loop_.run(); });
}

relay::~relay() {
    loop_.stop();
    thread_.join();
}

std::string relay::address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void relay::accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket downstream) {
        if (!error) {
            std::make_shared<connection>(loop_, std::move(downstream), mode_)->open(target_);
        }
        accept();
    });
}

}  // namespace masticpass::soak
