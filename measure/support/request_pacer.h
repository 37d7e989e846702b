#ifndef MASTICPASS_MEASURE_REQUEST_PACER_H
#define MASTICPASS_MEASURE_REQUEST_PACER_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <httplib.h>

namespace masticpass::measure {

// Requests sent at a fixed rate, spread over connections. The schedule doesn't wait for responses.
struct paced_requests {
    std::string address;
    std::string path;
    httplib::Headers headers;
    double rate = 1000.0;
    int connections = 16;
    absl::Duration duration = absl::Seconds(4);
    // One identity for each request; empty for requests that may be repeated.
    std::vector<std::string> identities;
    std::uint64_t seed = 1;
};

struct paced_result {
    // From the sending of a request to its complete response.
    std::vector<double> latency_ms;
    // From the scheduled time, which includes the delay of a late sender.
    std::vector<double> since_schedule_ms;
    std::uint64_t failed = 0;
};

paced_result send_paced(const paced_requests& plan);

}  // namespace masticpass::measure

#endif
