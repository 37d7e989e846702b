#ifndef MASTICPASS_CALLER_REQUEST_FORMAT_H
#define MASTICPASS_CALLER_REQUEST_FORMAT_H

#include <absl/time/time.h>
#include <httplib.h>
#include <tl/expected.hpp>

#include "routing/service_request.h"

namespace masticpass {

// The HTTP form of service requests and their results, used by callers and between entry VMs.

// Reads a request whose path names `service`. Refuses missing or malformed headers and past deadlines. The
// refusal is "not run", which holds for this message only: refusal_verdict says what holds for its identity.
tl::expected<service_request, refusal> read_request(const httplib::Request& request,
                                                    const service_name& service, absl::Time now);

// The verdict for a request that is refused before `handler` got it. A request with an identity may have run
// when it was sent before, so it is "not run" only if `handler` states that the identity is unused. A request
// without an identity is "not run" if all its headers were read; the identity could be in the others.
verdict refusal_verdict(const httplib::Request& request, request_handler& handler);

// The headers that read_request reads.
httplib::Headers to_headers(const service_request& request, absl::Time now);

// Writes a result with its verdict; a refusal gets a JSON body with verdict, reason and message.
void write_result(const request_result& result, httplib::Response& response);

// Reads what write_result wrote. A response without a valid verdict counts as "may have run".
request_result read_result(const httplib::Response& response);

// Writes a refusal as write_result does.
void write_refusal(const refusal& refused, httplib::Response& response);

}  // namespace masticpass

#endif
