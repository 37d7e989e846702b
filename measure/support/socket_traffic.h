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

// Bytes of connections, counted at the side that opened them.
struct traffic {
    // Payload.
    double sent = 0.0;
    double received = 0.0;
    // Payload in both directions with IP and TCP headers, whose size is computed from the number of segments.
    double with_headers = 0.0;

    traffic operator-(const traffic& earlier) const;
};

// Sums the kernel's byte counters of the connections to a range of loopback ports. The program `ss` is run
// twice a second to read the counters of open connections. A second `ss` runs all the time and reports the
// counters of each connection that closes, which requires the capability CAP_NET_ADMIN. A connection that
// closes during a read can be counted twice. Thread safety: `by_port` may be called from any thread.
class socket_traffic {
public:
    // Throws std::runtime_error if `stdbuf`, which starts the second `ss`, cannot be run.
    socket_traffic(int first_port, int last_port);
    ~socket_traffic();
    socket_traffic(const socket_traffic&) = delete;
    socket_traffic& operator=(const socket_traffic&) = delete;

    // The traffic so far, by the port to which the connections were opened. Reads the counters again.
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

    // Parses a line of the output of `ss`. Returns nullopt if the connection is not to one of the ports.
    std::optional<socket_line> parse(const std::string& line) const;
    void read_open();
    // Reads the reports of closed connections until the second `ss` ends.
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
