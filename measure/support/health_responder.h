#ifndef MASTICPASS_MEASURE_HEALTH_RESPONDER_H
#define MASTICPASS_MEASURE_HEALTH_RESPONDER_H

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace masticpass::measure {

// Responds to health probes on many ports of 127.0.0.1 with one thread. It stands in for as many backend
// servers.
class health_responder {
public:
    // Listens on `count` consecutive ports, beginning with `first_port`. Throws std::runtime_error if one of
    // them is in use.
    health_responder(int first_port, int count);
    ~health_responder();
    health_responder(const health_responder&) = delete;
    health_responder& operator=(const health_responder&) = delete;

    std::int64_t probes() const { return probes_; }
    std::int64_t connections() const { return connections_; }
    // Payload bytes of all probes and their responses.
    std::int64_t bytes_received() const { return bytes_received_; }
    std::int64_t bytes_sent() const { return bytes_sent_; }

private:
    void run();
    void accept_from(int listener);
    void read_from(int connection);
    void close_connection(int connection);
    void close_all();

    int epoll_ = -1;
    std::vector<int> listeners_;
    // For each connection, the part of the next request that has been read.
    std::map<int, std::string> partial_requests_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::int64_t> probes_ = 0;
    std::atomic<std::int64_t> connections_ = 0;
    std::atomic<std::int64_t> bytes_received_ = 0;
    std::atomic<std::int64_t> bytes_sent_ = 0;
    std::thread thread_;
};

}  // namespace masticpass::measure

#endif
