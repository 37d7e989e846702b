#ifndef MASTICPASS_PEER_PEER_SERVER_H
#define MASTICPASS_PEER_PEER_SERVER_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "common/clock.h"
#include "http/server.h"
#include "peer/heartbeat.h"
#include "peer/identity_transfer.h"
#include "peer/record.h"
#include "routing/service_request.h"
#include "settings/settings.h"
#include "telemetry/metrics.h"

namespace masticpass {

class http_connector;

// Answers the calls of other entry VMs.
// Thread safety: implementations allow calls from any thread.
class peer_handler {
public:
    peer_handler() = default;
    peer_handler(const peer_handler&) = delete;
    peer_handler& operator=(const peer_handler&) = delete;
    virtual ~peer_handler() = default;

    // Takes a peer's heartbeat and returns this entry VM's own.
    virtual heartbeat receive_heartbeat(const heartbeat& beat) = 0;

    // Records with a store revision above `revision`.
    virtual std::vector<record> records_after(std::uint64_t revision) = 0;

    // Takes records that a peer hands over; older ones than those held are ignored.
    virtual void receive_records(const std::vector<record>& records) = 0;

    // Goes on with the request identities of an entry VM that stops; false if it refuses.
    virtual bool take_over_identities(const std::vector<identity_transfer>& transfers) = 0;
};

// The server for other entry VMs: JSON-RPC as described by schema/peer.json, and forwarded requests.
// Ownership: owns its HTTP server; borrows the handlers, clock and metrics, which must outlive it.
// Thread safety: `create`, `start` and `stop` on one thread.
class peer_server {
public:
    // Binds the peer address. The error says why it cannot be used.
    static tl::expected<std::unique_ptr<peer_server>, std::string> create(const settings& configured,
                                                                          peer_handler& peers,
                                                                          request_handler& requests,
                                                                          const clock& time_source,
                                                                          metrics_registry& metrics);
    ~peer_server();

    void start();

    // Returns when the requests that run have their responses.
    void stop();

private:
    class rpc;

    peer_server(std::unique_ptr<http_server> server, peer_handler& peers);

    std::unique_ptr<http_server> server_;
    std::unique_ptr<http_connector> connector_;
    std::unique_ptr<rpc> rpc_;
};

}  // namespace masticpass

#endif
