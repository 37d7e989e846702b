#ifndef MASTICPASS_ROUTING_SERVICE_REQUEST_H
#define MASTICPASS_ROUTING_SERVICE_REQUEST_H

#include <optional>
#include <string>
#include <vector>

#include <absl/time/time.h>
#include <tl/expected.hpp>

#include "common/identifier.h"
#include "common/verdict.h"

namespace masticpass {

// A caller's request for one service.
struct service_request {
    service_name service;
    job_kind kind;
    // On the monotonic clock of this entry VM.
    absl::Time deadline;
    // Worth of the request, relative to other requests, if it completes before its deadline.
    double worth = 1.0;
    std::optional<absl::Duration> declared_run_time;
    bool repeatable = false;
    // An identity issued by an entry VM, required unless the request is repeatable. A repeatable request may
    // have any other id or none.
    request_id id;
    std::string content_type;
    std::string body;
    // Whether another entry VM has forwarded the request. Such a request is not forwarded again.
    bool forwarded = false;
};

// The complete response of a backend server.
struct service_response {
    int status = 0;
    std::string content_type;
    std::string body;
};

using request_result = tl::expected<service_response, refusal>;

// Runs requests of callers.
// Thread safety: implementations allow calls from any thread.
class request_handler {
public:
    request_handler() = default;
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;
    virtual ~request_handler() = default;

    // Runs the request. Blocks until there is a response or a refusal, at the latest until shortly after the
    // deadline.
    virtual request_result handle(const service_request& request) = 0;

    // Issues `count` identities for requests that must not be repeated. Precondition: `count` is from 1 to
    // 1,000.
    virtual tl::expected<std::vector<request_id>, refusal> issue_identities(std::size_t count) = 0;

    // Whether this entry VM may run the request with the identity `id` and no run with it has begun. If so, a
    // request that is refused now has not run. False if this is not known.
    virtual bool is_unused(const request_id& id) = 0;

    // Cancels a waiting request. Its place in the queue is free when the call returns. The verdict says
    // whether the request may have run. `forwarded` is true if another entry VM passes on the cancellation.
    virtual verdict cancel(const request_id& id, bool forwarded) = 0;
};

}  // namespace masticpass

#endif
