#ifndef MASTICPASS_CALLER_REQUEST_FORMAT_H
#define MASTICPASS_CALLER_REQUEST_FORMAT_H

#include <absl/time/time.h>
#include <httplib.h>
#include <tl/expected.hpp>

#include "routing/service_request.h"

namespace masticpass {

// The HTTP format of service requests and their results, as used by callers and between entry VMs.

// Reads a request for `service`, which its path names. Errors: a header is missing or malformed, or the
// deadline has passed. The verdict of the refusal is "not run", which applies to this message only.
// refusal_verdict returns the verdict that also applies to earlier messages with the same identity.
tl::expected<service_request, refusal> read_request(const httplib::Request& request,
                                                    const service_name& service, absl::Time now);

// Returns the verdict for a request that is refused before it reaches `handler`. A request with an identity
// may have run when it was sent before, so the verdict is "not run" only if `handler` states that the
// identity is unused. For a request without an identity, the verdict is "not run" only if all headers were
// read, since the identity may be in a header that was not read.
verdict refusal_verdict(const httplib::Request& request, request_handler& handler);

// Returns the headers that read_request reads.
httplib::Headers to_headers(const service_request& request, absl::Time now);

// Writes a result and its verdict. A refusal gets a JSON body with verdict, reason and message.
void write_result(const request_result& result, httplib::Response& response);

// Reads a result written by write_result. A response without a valid verdict counts as "may have run".
request_result read_result(const httplib::Response& response);

// Writes a refusal as write_result does.
void write_refusal(const refusal& refused, httplib::Response& response);

}  // namespace masticpass

#endif
