#ifndef MASTICPASS_STANDIN_REQUEST_SENDER_H
#define MASTICPASS_STANDIN_REQUEST_SENDER_H

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <httplib.h>

#include "standin/balancer.h"

namespace masticpass::standin {

// What a run of the stand-in caller sends.
struct sending_plan {
    std::vector<std::string> services;
    int timeout_ms = 2000;
    int short_ms = 5;
    int long_ms = 200;
    double long_share = 0.1;
    // Share of requests that must not be repeated.
    double once_share = 0.2;
};

// What came back, added up.
struct sending_result {
    std::uint64_t sent = 0;
    std::uint64_t complete = 0;
    std::uint64_t incomplete = 0;
    // Requests whose connection ended without a response, also after the resends.
    std::uint64_t cut = 0;
    std::uint64_t resent = 0;
    std::map<std::string, std::uint64_t> refusals;
    std::vector<double> latency_ms;

    void add(const sending_result& other);
};

// Sends requests one after another. Not thread-safe; each thread has its own.
class request_sender {
public:
    request_sender(const balancer& entry_balancer, const sending_plan& plan, std::uint64_t seed);

    void send_request();
    const sending_result& result() const { return result_; }

private:
    httplib::Client& client_for(const std::string& address);
    std::string take_identity();
    httplib::Result send(const std::string& service, const httplib::Headers& headers,
                         const std::string& body);
    void record(const httplib::Result& answer, std::size_t expected_bytes, double elapsed_ms);

    const balancer& balancer_;
    const sending_plan& plan_;
    std::mt19937_64 generator_;
    std::map<std::string, std::unique_ptr<httplib::Client>> clients_;
    std::vector<std::string> identities_;
    sending_result result_;
    std::uint64_t next_job_ = 0;
    std::uint64_t seed_;
};

}  // namespace masticpass::standin

#endif
