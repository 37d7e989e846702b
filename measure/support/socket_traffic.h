#ifndef MASTICPASS_MEASURE_SOCKET_TRAFFIC_H
#define MASTICPASS_MEASURE_SOCKET_TRAFFIC_H

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <thread>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

namespace masticpass::measure {

// Bytes from the ends of the connections that were opened.
struct traffic {
    // Payload.
    double sent = 0.0;
    double received = 0.0;
    // Payload and the headers of IP and TCP, worked out from the number of segments.
    double wire = 0.0;

    traffic operator-(const traffic& earlier) const;
};

// Adds up the kernel's byte counters of the connections to some loopback ports, read with the program `ss`
// twice a second. A connection that opens and closes between two reads is not seen, so health probes, which
// have their own connections, are counted by their responder.
class socket_traffic {
public:
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

    void read();
    void note(const std::string& ends, const std::string& counters) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const std::string command_;
    std::atomic<bool> stopping_ = false;
    absl::Mutex mutex_;
    std::map<std::string, connection_state> connections_ ABSL_GUARDED_BY(mutex_);
    std::map<int, traffic> closed_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_;
};

}  // namespace masticpass::measure

#endif
