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
    // Worth of the request if it is done on time; relative to other requests.
    double worth = 1.0;
    std::optional<absl::Duration> declared_run_time;
    bool repeatable = false;
    // Issued by an entry VM; required unless the request is repeatable.
    request_id id;
    std::string content_type;
    std::string body;
    // Another entry VM sent the request here; it is not sent on again.
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

    // Runs the request and blocks until it has a response or a refusal, not much beyond its deadline.
    virtual request_result handle(const service_request& request) = 0;

    // Issues `count` identities for requests that must not be repeated. Precondition: `count` is from 1 to
    // 1,000.
    virtual tl::expected<std::vector<request_id>, refusal> issue_identities(std::size_t count) = 0;

    // Whether this entry VM may run the identity `id` and no request with it has begun, so that a request
    // with it that is refused now has not run. False whenever that is not known.
    virtual bool is_unused(const request_id& id) = 0;

    // Cancels a waiting request; its place is free when the call returns. The verdict says whether it had
    // begun.
    // `forwarded` says that another entry VM passes it on.
    virtual verdict cancel(const request_id& id, bool forwarded) = 0;
};

}  // namespace masticpass

#endif
