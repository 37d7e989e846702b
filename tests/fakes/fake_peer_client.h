#ifndef MASTICPASS_FAKES_FAKE_PEER_CLIENT_H
#define MASTICPASS_FAKES_FAKE_PEER_CLIENT_H

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "peer/peer_client.h"

namespace masticpass::fakes {

// A peer client that responds to calls with the functions `on_...`, which a test sets before the first call.
// A call without a function fails as if the peer had refused the connection.
// Thread safety: the calls may be made from any thread.
class fake_peer_client final : public peer_client {
public:
    tl::expected<heartbeat, peer_error> exchange_heartbeat(const std::string& address,
                                                           const heartbeat& beat) override {
        return on_heartbeat ? on_heartbeat(address, beat) : tl::unexpected(peer_error::not_connected);
    }
    tl::expected<std::vector<record>, peer_error> records_after(const std::string&,
                                                                std::uint64_t revision) override {
        return on_records_after ? on_records_after(revision) : tl::unexpected(peer_error::not_connected);
    }
    tl::expected<void, peer_error> push_records(const std::string&,
                                                const std::vector<record>& records) override {
        if (!on_push) {
            return tl::unexpected(peer_error::not_connected);
        }
        on_push(records);
        return {};
    }
    tl::expected<bool, peer_error> hand_over_identities(const std::string&,
                                                        const std::vector<identity_transfer>&) override {
        return tl::unexpected(peer_error::not_connected);
    }
    request_result forward(const std::string&, const service_request& request) override {
        ++forwards;
        if (on_forward) {
            return on_forward(request);
        }
        return tl::unexpected(refusal{verdict::not_run, refusal_reason::peer_unreachable, "not reached"});
    }
    verdict cancel(const std::string&, const request_id&) override { return verdict::may_have_run; }

    std::function<tl::expected<heartbeat, peer_error>(const std::string&, const heartbeat&)> on_heartbeat;
    std::function<tl::expected<std::vector<record>, peer_error>(std::uint64_t)> on_records_after;
    std::function<void(const std::vector<record>&)> on_push;
    std::function<request_result(const service_request&)> on_forward;
    std::atomic<int> forwards = 0;
};

}  // namespace masticpass::fakes

#endif
