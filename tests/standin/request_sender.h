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

// The mix of requests that a run of the caller stand-in sends.
struct sending_plan {
    std::vector<std::string> services;
    int timeout_ms = 2000;
    int short_ms = 5;
    int long_ms = 200;
    double long_share = 0.1;
    // Share of requests that must not be repeated and carry an identity.
    double once_share = 0.2;
};

// Counters of the requests and their responses.
struct sending_result {
    std::uint64_t sent = 0;
    std::uint64_t complete = 0;
    std::uint64_t incomplete = 0;
    // Requests that got no response, even after all resends.
    std::uint64_t cut = 0;
    std::uint64_t resent = 0;
    // Number of responses with a status other than 200, by verdict and reason.
    std::map<std::string, std::uint64_t> refusals;
    std::vector<double> latency_ms;

    void add(const sending_result& other);
};

// Sends requests one at a time and counts the responses. Ownership: borrows the balancer and the plan. Thread
// safety: none.
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
