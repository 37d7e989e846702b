#ifndef MASTICPASS_PEER_PEER_CLIENT_H
#define MASTICPASS_PEER_PEER_CLIENT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "peer/heartbeat.h"
#include "peer/identity_transfer.h"
#include "peer/record.h"
#include "routing/service_request.h"

namespace masticpass {

enum class peer_error {
    // No connection could be opened.
    not_connected,
    // No valid response arrived in time.
    no_response,
};

// Calls other entry VMs.
// Thread safety: implementations allow calls from any thread.
class peer_client {
public:
    peer_client() = default;
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    virtual ~peer_client() = default;

    // Sends a heartbeat and returns the heartbeat of the peer.
    virtual tl::expected<heartbeat, peer_error> exchange_heartbeat(const std::string& address,
                                                                   const heartbeat& beat) = 0;

    // Returns the records of the peer with a store revision above `revision`.
    virtual tl::expected<std::vector<record>, peer_error> records_after(const std::string& address,
                                                                        std::uint64_t revision) = 0;

    // Sends records to the peer.
    virtual tl::expected<void, peer_error> push_records(const std::string& address,
                                                        const std::vector<record>& records) = 0;

    // Hands the state of request identities over to the peer. From then on, only the peer may run their
    // requests. Returns false if the peer refused. After `no_response`, the peer may hold the identities.
    virtual tl::expected<bool, peer_error> hand_over_identities(
        const std::string& address, const std::vector<identity_transfer>& transfers) = 0;

    // Forwards a request to the peer. Errors: those of the peer; peer_unreachable, which is "not run" if no
    // connection could be opened and "may have run" if no complete response arrived.
    virtual request_result forward(const std::string& address, const service_request& request) = 0;

    // Cancels a request at the peer. Returns "may have run" if the peer does not respond.
    virtual verdict cancel(const std::string& address, const request_id& id) = 0;
};

}  // namespace masticpass

#endif
