#ifndef MASTICPASS_PEER_HTTP_PEER_CLIENT_H
#define MASTICPASS_PEER_HTTP_PEER_CLIENT_H

#include <string>
#include <vector>

#include "backend/connection_pool.h"
#include "common/clock.h"
#include "peer/peer_client.h"

namespace masticpass {

// Calls other entry VMs with JSON-RPC over HTTP, and forwards requests in the HTTP format that callers use.
// Ownership: owns its connections; borrows the clock, which must outlive it.
// Thread safety: all methods may be called from any thread.
class http_peer_client final : public peer_client {
public:
    // `call_timeout` applies to all calls but `forward`, which ends at the deadline of the request.
    http_peer_client(absl::Duration call_timeout, const connection_limits& limits, const clock& time_source);

    tl::expected<heartbeat, peer_error> exchange_heartbeat(const std::string& address,
                                                           const heartbeat& beat) override;
    tl::expected<std::vector<record>, peer_error> records_after(const std::string& address,
                                                                std::uint64_t revision) override;
    tl::expected<void, peer_error> push_records(const std::string& address,
                                                const std::vector<record>& records) override;
    tl::expected<bool, peer_error> hand_over_identities(
        const std::string& address, const std::vector<identity_transfer>& transfers) override;
    request_result forward(const std::string& address, const service_request& request) override;
    verdict cancel(const std::string& address, const request_id& id) override;

private:
    tl::expected<httplib::Response, exchange_error> exchange(const std::string& address,
                                                             const exchange_request& request);
    // Opens a new connection and closes it after the exchange. The server library polls an idle connection
    // about 90 times a second, which costs more than opening one connection a second for the exchange of
    // heartbeats.
    tl::expected<httplib::Response, exchange_error> exchange_on_new_connection(const std::string& address,
                                                                               exchange_request request);
    tl::expected<Json::Value, peer_error> call(const std::string& address, const std::string& method,
                                               const Json::Value& parameters);

    absl::Duration call_timeout_;
    connection_limits limits_;
    const clock& clock_;
    connection_pool pool_;
};

}  // namespace masticpass

#endif
