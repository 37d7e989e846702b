#ifndef MASTICPASS_FAKES_RAW_SERVER_H
#define MASTICPASS_FAKES_RAW_SERVER_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace masticpass::fakes {

// An accepted connection. Each connection is served on its own thread.
class raw_connection {
public:
    raw_connection(int descriptor, int number) : descriptor_(descriptor), number_(number) {}

    // 1 for the first connection that the server accepted.
    int number() const { return number_; }
    void send(std::string_view bytes) const;
    // Closes the connection after the responder returns.
    void close() { is_closing_ = true; }

private:
    friend class raw_server;

    int descriptor_;
    int number_;
    bool is_closing_ = false;
};

// A server on a free loopback port that passes HTTP requests to a function, which can respond with arbitrary
// bytes.
// Thread safety: all methods may be called from any thread; the function is called on one thread for each
// connection.
class raw_server {
public:
    using responder = std::function<void(raw_connection& connection, const std::string& request)>;

    explicit raw_server(responder respond);
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    // Closes all connections. Blocks until all calls of the responder have returned, so a test must first
    // release a responder that waits.
    ~raw_server();

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    // Number of connections accepted so far, including closed ones.
    int accepted_connections() const { return accepted_connections_.load(); }
    int closed_connections() const { return closed_connections_.load(); }

private:
    void accept_all();
    void serve(int descriptor, int number);

    const responder respond_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> accepted_connections_ = 0;
    std::atomic<int> closed_connections_ = 0;
    absl::Mutex mutex_;
    std::list<int> open_descriptors_ ABSL_GUARDED_BY(mutex_);
    // Used only by the accept thread until it ends.
    std::list<std::thread> connection_threads_;
    std::thread accept_thread_;
};

// Returns the value of a header in the text of a request; empty if the request has no such header.
std::string header_of(const std::string& request, const std::string& header);

}  // namespace masticpass::fakes

#endif
