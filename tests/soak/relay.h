#ifndef MASTICPASS_SOAK_RELAY_H
#define MASTICPASS_SOAK_RELAY_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include <absl/time/time.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace masticpass::soak {

enum class relay_mode {
    pass,
    delay,            // All data is delayed.
    reset,            // A connection is reset as soon as either side sends data.
    silent,           // No data passes in either direction; connections stay open.
    block_responses,  // Requests pass, responses do not.
};

// TCP proxy on loopback between one entry VM and the platform. Data that arrives while its direction is
// blocked is lost, and that direction of the connection stays blocked when the mode changes. Thread safety:
// `set_mode` may be called from any thread.
class relay {
public:
    // `target` is an IP address and port.
    explicit relay(const std::string& target);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    ~relay();

    std::string address() const;
    void set_mode(relay_mode mode) { mode_ = mode; }

private:
    class connection;

    void accept();

    boost::asio::io_context loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    const boost::asio::ip::tcp::endpoint target_;
    std::atomic<relay_mode> mode_ = relay_mode::pass;
    std::thread thread_;
};

}  // namespace masticpass::soak

#endif
