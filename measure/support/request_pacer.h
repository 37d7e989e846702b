#ifndef MASTICPASS_MEASURE_REQUEST_PACER_H
#define MASTICPASS_MEASURE_REQUEST_PACER_H

#include <cstdint>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <httplib.h>

namespace masticpass::measure {

// Requests that are sent at a fixed rate and distributed over connections. The schedule does not wait for
// responses.
struct paced_requests {
    std::string address;
    std::string path;
    httplib::Headers headers;
    double rate = 1000.0;
    int connections = 16;
    absl::Duration duration = absl::Seconds(4);
    // One identity for each request. Empty if the requests may be repeated.
    std::vector<std::string> identities;
    std::uint64_t seed = 1;
};

struct paced_result {
    // Time from the sending of each request until its complete response.
    std::vector<double> latency_ms;
    // Time from when each request was scheduled, which includes the delay of a sender that is late.
    std::vector<double> since_schedule_ms;
    std::uint64_t failed = 0;
};

// Sends the requests and waits until all of them have ended. Only responses with status 200 are timed; all
// other requests count as failed.
paced_result send_paced(const paced_requests& plan);

}  // namespace masticpass::measure

#endif
