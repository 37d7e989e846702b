#ifndef MASTICPASS_CALLER_REQUEST_FORMAT_H
#define MASTICPASS_CALLER_REQUEST_FORMAT_H

#include <absl/time/time.h>
#include <httplib.h>
#include <tl/expected.hpp>

#include "routing/service_request.h"

namespace masticpass {

// The HTTP form of service requests and their results, used by callers and between entry VMs.

// Reads a request whose path names `service`. Refuses, as not run, missing or malformed headers and past
// deadlines.
tl::expected<service_request, refusal> read_request(const httplib::Request& request,
                                                    const service_name& service, absl::Time now);

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
