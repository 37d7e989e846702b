#ifndef MASTICPASS_BACKEND_BACKEND_CLIENT_H
#define MASTICPASS_BACKEND_BACKEND_CLIENT_H

#include <string>
#include <string_view>

#include <absl/time/time.h>
#include <tl/expected.hpp>

#include "common/attempt_state.h"
#include "common/identifier.h"
#include "common/verdict.h"

namespace masticpass {

// One attempt to run a request on one backend server. The views must outlive the call.
struct backend_request {
    // IP address and port of the backend server, for example "10.0.3.7:9000".
    std::string_view address;
    service_name service;
    attempt_id attempt;
    job_kind kind;
    std::string_view content_type;
    std::string_view body;
    // How long the attempt may take, from connecting to the end of the response.
    absl::Duration timeout;
};

// The complete response of a backend server to an attempt.
struct backend_response {
    int status = 0;
    std::string content_type;
    std::string body;
    // Whether the server reports that it is leaving.
    bool leaving = false;
};

// The failure of an attempt that has no usable response.
struct attempt_failure {
    refusal cause;
    // Whether the server reports that it is leaving.
    bool leaving = false;
};

enum class probe_result {
    healthy,
    leaving,
    unhealthy,
    // No connection could be opened within the quota.
    not_probed,
};

// Why an attempt in flight is ended before its response.
enum class attempt_end {
    // The server does not know the attempt, so no response will arrive on the connection.
    connection_silent,
    // The attempt has exceeded its timeout.
    timeout,
};

// Sends requests to backend servers.
// Thread safety: implementations allow calls from any thread.
class backend_client {
public:
    backend_client() = default;
    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;
    virtual ~backend_client() = default;

    // Runs one attempt. Precondition: `address` names an IP address and a port. The failure's verdict is
    // `not_run` only if the server cannot have started the request.
    virtual tl::expected<backend_response, attempt_failure> run(const backend_request& request) = 0;

    // Queries the health of the server over a new connection.
    virtual probe_result probe(std::string_view address, absl::Duration timeout) = 0;

    // Queries the state of an attempt over a new connection.
    virtual attempt_state query_attempt(std::string_view address, const attempt_id& attempt,
                                        absl::Duration timeout) = 0;

    // Closes the connection of an attempt that another thread runs. Unless its response is complete by then,
    // the attempt fails as `may_have_run` with the reason connection_silent or answer_timeout. Returns false
    // and has no effect if the attempt has no connection at the moment.
    virtual bool end_attempt(const attempt_id& attempt, attempt_end reason) = 0;
};

}  // namespace masticpass

#endif
