#ifndef MASTICPASS_MEASURE_SOCKET_TRAFFIC_H
#define MASTICPASS_MEASURE_SOCKET_TRAFFIC_H

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <sys/types.h>

namespace masticpass::measure {

// Bytes from the ends of the connections that were opened.
struct traffic {
    // Payload.
    double sent = 0.0;
    double received = 0.0;
    // Payload and the headers of IP and TCP, worked out from the number of segments.
    double with_headers = 0.0;

    traffic operator-(const traffic& earlier) const;
};

// Adds up the kernel's byte counters of the connections to some loopback ports. The program `ss` reads those
// of open connections twice a second, and a second one reports those of each connection that closes, which
// needs the right to administer the network. A connection that closes during a read can be counted twice.
// Thread safety: `by_port` may be called from any thread.
class socket_traffic {
public:
    // Throws std::runtime_error if `ss` cannot be run.
    socket_traffic(int first_port, int last_port);
    ~socket_traffic();
    socket_traffic(const socket_traffic&) = delete;
    socket_traffic& operator=(const socket_traffic&) = delete;

    // Traffic so far by the port that connections were opened to. Reads the counters once more.
    std::map<int, traffic> by_port();

private:
    struct connection_state {
        traffic last;
        int port = 0;
    };

    struct socket_line {
        std::string state;
        // Local and remote address.
        std::string endpoints;
        int port = 0;
        traffic bytes;
    };

    // nullopt if the connection is not to one of the ports.
    std::optional<socket_line> parse(const std::string& line) const;
    void read_open();
    // Reads the connections that close until the program ends.
    void read_closed();

    const int first_port_;
    const int last_port_;
    const std::string command_;
    std::atomic<bool> stopping_ = false;
    absl::Mutex mutex_;
    std::map<std::string, connection_state> connections_ ABSL_GUARDED_BY(mutex_);
    std::map<int, traffic> closed_traffic_ ABSL_GUARDED_BY(mutex_);
    pid_t closed_reader_pid_ = 0;
    int closed_reader_output_ = -1;
    std::thread closed_thread_;
    std::thread thread_;
};

}  // namespace masticpass::measure

#endif
