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

// Handles the calls of other entry VMs.
// Thread safety: implementations allow calls from any thread.
class peer_handler {
public:
    peer_handler() = default;
    peer_handler(const peer_handler&) = delete;
    peer_handler& operator=(const peer_handler&) = delete;
    virtual ~peer_handler() = default;

    // Records the heartbeat of a peer and returns the heartbeat of this entry VM.
    virtual heartbeat receive_heartbeat(const heartbeat& beat) = 0;

    // Returns the held records with a store revision above `revision`.
    virtual std::vector<record> records_after(std::uint64_t revision) = 0;

    // Takes records that a peer sends. Records that are older than those held are ignored.
    virtual void receive_records(const std::vector<record>& records) = 0;

    // Takes over the request identities of an entry VM that is stopping. Returns false if they are refused.
    virtual bool take_over_identities(const std::vector<identity_transfer>& transfers) = 0;
};

// The HTTP server for other entry VMs: JSON-RPC as described in schema/peer.json, and forwarded requests.
// Ownership: owns its HTTP server; borrows the handlers, clock and metrics, which must outlive it.
// Thread safety: `create`, `start` and `stop` on one thread.
class peer_server {
public:
    // Binds the address for peers. The error says why it cannot be used.
    static tl::expected<std::unique_ptr<peer_server>, std::string> create(const settings& configured,
                                                                          peer_handler& peers,
                                                                          request_handler& requests,
                                                                          const clock& time_source,
                                                                          metrics_registry& metrics);
    ~peer_server();

    void start();

    // Accepts no more connections and returns after the responses to all running requests.
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
