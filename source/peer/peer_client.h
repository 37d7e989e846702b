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
    // The address refuses connections: no process listens there.
    not_connected,
    // No answer in time, or an unusable one.
    no_answer,
};

// Calls other entry VMs.
// Thread safety: implementations allow calls from any thread.
class peer_client {
public:
    peer_client() = default;
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    virtual ~peer_client() = default;

    // Sends a heartbeat and returns the peer's own.
    virtual tl::expected<heartbeat, peer_error> exchange_heartbeat(const std::string& address,
                                                                   const heartbeat& beat) = 0;

    // The peer's records with a store revision above `revision`.
    virtual tl::expected<std::vector<record>, peer_error> records_after(const std::string& address,
                                                                        std::uint64_t revision) = 0;

    // Hands records to the peer.
    virtual tl::expected<void, peer_error> push_records(const std::string& address,
                                                        const std::vector<record>& records) = 0;

    // Hands the state of request identities to the peer, which alone may run them from then on. False if it
    // refused. After `no_answer` the peer may have them.
    virtual tl::expected<bool, peer_error> hand_over_identities(
        const std::string& address, const std::vector<identity_transfer>& transfers) = 0;

    // Lets the peer run a request. A peer that was not reached gives `peer_unreachable` as not run; a lost
    // answer gives "may have run".
    virtual request_result forward(const std::string& address, const service_request& request) = 0;

    // Cancels a request at the peer; "may have run" if the peer gives no answer.
    virtual verdict cancel(const std::string& address, const request_id& id) = 0;
};

}  // namespace masticpass

#endif
